package io.magnoliaroute.core.program;

/**
 * A record that was applied to a {@link PartitionState}, with its verdict.
 *
 * @param offset the offset of the record
 * @param record the record
 * @param verdict whether and how the record took effect
 */
public record AppliedRecord(long offset, ProgramRecord record, Verdict verdict) {}
