package io.magnoliaroute.core.program;

/**
 * An action intent without a recorded outcome.
 *
 * @param intent the intent record
 * @param offset the offset of the record, which is the fencing token under which the request may
 *     have been sent
 */
public record OpenIntent(ProgramRecord.ActionIntent intent, long offset) {}
