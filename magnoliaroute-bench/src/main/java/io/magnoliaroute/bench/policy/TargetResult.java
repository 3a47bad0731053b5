package io.magnoliaroute.bench.policy;

import java.util.Locale;

/**
 * One target of the design page, section 1.8, and what was measured.
 *
 * @param row the row of the table
 * @param description what is measured
 * @param measured the figure
 * @param bound the bound
 * @param atMost whether the figure must not exceed the bound; otherwise it must reach it
 */
record TargetResult(String row, String description, double measured, double bound, boolean atMost) {

  static TargetResult atMost(String row, String description, double measured, double bound) {
    return new TargetResult(row, description, measured, bound, true);
  }

  static TargetResult atLeast(String row, String description, double measured, double bound) {
    return new TargetResult(row, description, measured, bound, false);
  }

  boolean passes() {
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
        passes() ? "pass" : "MISS");
  }
}
