package io.magnoliaroute.core.program;

/**
 * An intent whose outcome is not known.
 *
 * @param intent the record
 * @param offset its offset, which is the fencing token under which it may have been sent
 */
public record OpenIntent(ProgramRecord.ActionIntent intent, long offset) {}
