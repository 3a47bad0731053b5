package io.magnoliaroute.bench.policy;

/** Metrics that are recorded for each team and priority class. */
enum Metric {
  /** Time from the first request to the last token of finished programs. */
  PROGRAM_LATENCY_MS,
  /** Prompt tokens of a program that were computed although an engine had computed them before. */
  RECOMPUTED_TOKENS,
  /** Latency of finished programs that arrived during the demand spike. */
  PEAK_LATENCY_MS,
  /** Latency of finished short programs in percent of their latency on an idle group. */
  SHORT_SLOWDOWN_PERCENT,
  /** Latency of finished programs in a run with slowed engines. */
  SLOWED_LATENCY_MS,
  /** Time from the offer of an urgent call within its rate limit to its entry into a batch. */
  URGENT_SLOT_WAIT_MS
}
