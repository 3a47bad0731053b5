package io.magnoliaroute.core.schedule;

/**
 * Service of a program in units that do not depend on the endpoint: one unit is one generated
 * token. Engines compute many prompt tokens in the time of one generated token, so prompt tokens
 * count for less.
 */
public final class ServiceUnits {

  /** Prompt tokens that an engine computes at the cost of one generated token. */
  public static final int PROMPT_TOKENS_PER_UNIT = 32;

  private ServiceUnits() {}

  /**
   * Returns the service of one call.
   *
   * @param computedPromptTokens prompt tokens that were not found in the prefix cache
   * @param outputTokens generated tokens
   */
  public static long of(long computedPromptTokens, long outputTokens) {
    return outputTokens + computedPromptTokens / PROMPT_TOKENS_PER_UNIT;
  }
}
