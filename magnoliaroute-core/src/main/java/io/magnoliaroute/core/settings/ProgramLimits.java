package io.magnoliaroute.core.settings;

/**
 * The limits that stop programs caught in an endless loop.
 *
 * @param maxTurns the maximum number of turns of one program
 * @param maxTokens the maximum number of tokens that one program may consume
 * @param maxRepeats the maximum number of identical consecutive calls
 * @param toolTimeoutMs the time after which a tool call is considered hung
 * @param idleTimeoutMs the time without a call after which a program expires
 */
public record ProgramLimits(
    int maxTurns, long maxTokens, int maxRepeats, long toolTimeoutMs, long idleTimeoutMs) {}
