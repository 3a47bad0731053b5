package io.magnoliaroute.core.schedule;

/**
 * Unit of the service given to a program, independent of the endpoint: one unit is one generated
 * token. Engines compute many prompt tokens in the time of one generated token, so prompt tokens
 * count for a fraction of a unit.
 */
public final class ServiceUnits {

  /** Number of prompt tokens that cost an engine as much as one generated token. */
  public static final int PROMPT_TOKENS_PER_UNIT = 32;

  private ServiceUnits() {}

  /**
   * Returns the service of one call in units.
   *
   * @param computedPromptTokens prompt tokens that were not found in the prefix cache
   * @param outputTokens generated tokens
   */
  public static long of(long computedPromptTokens, long outputTokens) {
    return outputTokens + computedPromptTokens / PROMPT_TOKENS_PER_UNIT;
  }
}
