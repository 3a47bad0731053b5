package io.magnoliaroute.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Samples sizes and times of programs from a seeded random generator. */
final class WorkloadSampler {

  private static final int FIRST_PROMPT_MIN_TOKENS = 600;
  private static final int FIRST_PROMPT_MAX_TOKENS = 2_400;
  private static final int NEW_PROMPT_MIN_TOKENS = 80;
  private static final double SUB_AGENT_TURN_PROBABILITY = 0.05;
  private static final int SUB_AGENTS_PER_TURN = 2;

  private final SplittableRandom random;

  WorkloadSampler(long seed) {
    this.random = new SplittableRandom(seed);
  }

  double uniform() {
    return random.nextDouble();
  }

  /** Returns a uniformly distributed integer in {@code [from, to]}. */
  int between(int from, int to) {
    return random.nextInt(from, to + 1);
  }

  double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  /** Returns a Pareto-distributed value of at least {@code min}. */
  double pareto(double min, double shape) {
    return min / Math.pow(1 - random.nextDouble(), 1 / shape);
  }

  List<TurnSpec> sampleTurns(
      int count, int minOutput, int maxOutput, int minPauseMs, int maxPauseMs) {
    List<TurnSpec> turns = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      boolean first = i == 0;
      int promptTokens =
          first
              ? between(FIRST_PROMPT_MIN_TOKENS, FIRST_PROMPT_MAX_TOKENS)
              : between(NEW_PROMPT_MIN_TOKENS, NEW_PROMPT_MIN_TOKENS + maxOutput * 2);
      int subAgents = !first && uniform() < SUB_AGENT_TURN_PROBABILITY ? SUB_AGENTS_PER_TURN : 0;
      int pauseMs = first ? 0 : between(minPauseMs, maxPauseMs);
      turns.add(new TurnSpec(pauseMs, promptTokens, between(minOutput, maxOutput), subAgents));
    }
    return turns;
  }
}
