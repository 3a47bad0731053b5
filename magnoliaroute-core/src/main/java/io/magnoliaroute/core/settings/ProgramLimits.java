package io.magnoliaroute.core.settings;

/**
 * Limits that stop programs which loop without end.
 *
 * @param maxTurns turns of one program
 * @param maxTokens tokens that one program may consume
 * @param maxRepeats equal calls in a row
 * @param toolTimeoutMs time after which a tool call counts as hung
 * @param idleTimeoutMs time without a call after which a program lapses
 */
public record ProgramLimits(
    int maxTurns, long maxTokens, int maxRepeats, long toolTimeoutMs, long idleTimeoutMs) {}
