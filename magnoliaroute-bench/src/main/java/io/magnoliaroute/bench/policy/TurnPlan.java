package io.magnoliaroute.bench.policy;

/**
 * One turn of a program.
 *
 * @param pauseMs the tool pause before the turn
 * @param newPromptTokens tokens that are added to the history before the turn
 * @param outputTokens tokens that the turn generates
 * @param subAgents sub-agents that answer one call each, side by side, before the turn
 */
record TurnPlan(long pauseMs, int newPromptTokens, int outputTokens, int subAgents) {

  static final int SUB_AGENT_PROMPT_TOKENS = 600;
  static final int SUB_AGENT_OUTPUT_TOKENS = 80;
}
