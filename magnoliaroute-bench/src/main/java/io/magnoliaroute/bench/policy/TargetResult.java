package io.magnoliaroute.bench.policy;

import java.util.Locale;

/**
 * The measured value for one performance target of docs/design.md, section 1.8.
 *
 * @param row the row of the table of targets
 * @param description what is measured
 * @param measured the measured value
 * @param bound the bound
 * @param atMost whether the bound is an upper bound; otherwise it is a lower bound
 */
record TargetResult(String row, String description, double measured, double bound, boolean atMost) {

  static TargetResult atMost(String row, String description, double measured, double bound) {
    return new TargetResult(row, description, measured, bound, true);
  }

  static TargetResult atLeast(String row, String description, double measured, double bound) {
    return new TargetResult(row, description, measured, bound, false);
  }

  boolean isMet() {
    return atMost ? measured <= bound : measured >= bound;
  }

  String line() {
    String relation = atMost ? "<=" : ">=";
    return String.format(
        Locale.ROOT,
        "%-18s %-62s %10.3f %s %8.3f  %s",
        row,
        description,
        measured,
        relation,
        bound,
        isMet() ? "pass" : "MISS");
  }
}
