package io.magnoliaroute.core.allowance;

/**
 * The use of a program's budget that a holder has reported.
 *
 * @param usedTokens tokens used by all holders, as far as the reporting holder knew
 * @param unrecordedTokens tokens that the reporting holder had used beyond its slices
 */
public record ReportedUse(long usedTokens, long unrecordedTokens) {

  /**
   * Returns whether a record of the same holder was written after the report. A holder that uses
   * more than its slices has used all that was granted, so what it has used besides tells how much
   * was granted when it reported.
   */
  boolean isCoveredBy(long grantedTokens) {
    return grantedTokens > usedTokens - unrecordedTokens;
  }

  /** Returns the report of the larger use. */
  public ReportedUse max(ReportedUse other) {
    return other.unrecordedTokens > unrecordedTokens ? other : this;
  }
}
