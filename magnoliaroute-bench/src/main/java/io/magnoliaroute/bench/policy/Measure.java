package io.magnoliaroute.bench.policy;

/** What is measured for each team and class. */
enum Measure {
  /** From the first request to the last token, of programs that finished. */
  PROGRAM_LATENCY_MS,
  /** Prompt tokens of a program that were computed again though an engine had computed them. */
  RECOMPUTED_TOKENS,
  /** Latency of programs that arrived during the spike and finished. */
  PEAK_LATENCY_MS,
  /** Latency of short programs in percent of their latency on an idle group. */
  SHORT_SLOWDOWN_PERCENT,
  /** Latency of programs that ran while an engine was slowed and finished. */
  SLOWED_LATENCY_MS,
  /** From the offer of an urgent call inside its ration to its place in a batch. */
  URGENT_SLOT_WAIT_MS
}
