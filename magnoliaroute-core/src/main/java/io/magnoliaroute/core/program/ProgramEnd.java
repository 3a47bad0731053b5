package io.magnoliaroute.core.program;

/**
 * The end of a program.
 *
 * @param reason the reason for the end
 * @param offset the offset of the record that ended it
 */
public record ProgramEnd(EndReason reason, long offset) {}
