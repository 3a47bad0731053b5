package io.magnoliaroute.bench.policy;

/**
 * Specifies one turn of a program.
 *
 * @param pauseMs the pause before the turn, in which the caller runs its tools
 * @param newPromptTokens prompt tokens that the turn adds to the history
 * @param outputTokens output tokens of the turn
 * @param subAgents sub-agents that run in parallel before the turn, with one call each
 */
record TurnSpec(long pauseMs, int newPromptTokens, int outputTokens, int subAgents) {

  static final int SUB_AGENT_PROMPT_TOKENS = 600;
  static final int SUB_AGENT_OUTPUT_TOKENS = 80;
}
