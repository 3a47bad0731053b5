package io.magnoliaroute.core.program;

/**
 * How a program ended.
 *
 * @param reason the reason
 * @param offset the offset of the record that ended it
 */
public record ProgramEnd(EndReason reason, long offset) {}
