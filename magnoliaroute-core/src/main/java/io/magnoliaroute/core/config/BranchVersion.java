package io.magnoliaroute.core.config;

/**
 * One accepted version of a branch.
 *
 * @param version the log offset of the accepted record
 * @param author the operator who published it
 * @param timeMs the time of publication, by the clock of the VM that received it
 * @param recordId the id of the record
 */
public record BranchVersion(long version, String author, long timeMs, String recordId) {}
