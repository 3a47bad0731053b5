package io.magnoliaroute.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the sizes of programs from a fixed seed. */
final class WorkloadRandom {

  private static final int FIRST_PROMPT_MIN_TOKENS = 600;
  private static final int FIRST_PROMPT_MAX_TOKENS = 2_400;
  private static final int NEW_PROMPT_MIN_TOKENS = 80;
  private static final double SUB_AGENT_TURNS = 0.05;
  private static final int SUB_AGENTS = 2;

  private final SplittableRandom random;

  WorkloadRandom(long seed) {
    this.random = new SplittableRandom(seed);
  }

  double uniform() {
    return random.nextDouble();
  }

  /** Returns a whole number in {@code [from, to]}. */
  int between(int from, int to) {
    return random.nextInt(from, to + 1);
  }

  double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  /** Returns a heavy-tailed number of at least {@code min}. */
  double pareto(double min, double shape) {
    return min / Math.pow(1 - random.nextDouble(), 1 / shape);
  }

  List<TurnPlan> turns(int count, int minOutput, int maxOutput, int minPauseMs, int maxPauseMs) {
    List<TurnPlan> turns = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      boolean first = i == 0;
      int prompt =
          first
              ? between(FIRST_PROMPT_MIN_TOKENS, FIRST_PROMPT_MAX_TOKENS)
              : between(NEW_PROMPT_MIN_TOKENS, NEW_PROMPT_MIN_TOKENS + maxOutput * 2);
      int subAgents = !first && uniform() < SUB_AGENT_TURNS ? SUB_AGENTS : 0;
      int pauseMs = first ? 0 : between(minPauseMs, maxPauseMs);
      turns.add(new TurnPlan(pauseMs, prompt, between(minOutput, maxOutput), subAgents));
    }
    return turns;
  }
}
