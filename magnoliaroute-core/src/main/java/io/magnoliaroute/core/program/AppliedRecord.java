package io.magnoliaroute.core.program;

/**
 * A record with its verdict.
 *
 * @param offset the offset of the record
 * @param record the record
 * @param verdict what the rules decided
 */
public record AppliedRecord(long offset, ProgramRecord record, Verdict verdict) {}
