package io.magnoliaroute.core.config;

/**
 * One accepted version of a branch.
 *
 * @param version the offset of acceptance
 * @param author who published it
 * @param timeMs when it was published, by the clock of the VM that took it
 * @param recordId the identity of the record
 */
public record BranchVersion(long version, String author, long timeMs, String recordId) {}
