package io.magnoliaroute.core.schedule;

/** How a group scheduler orders waiting calls and chooses endpoints. */
public enum SchedulingPolicy {
  /** Calls in arrival order, endpoints in turn. A baseline for benchmarks. */
  ARRIVAL_ROUND_ROBIN,
  /** Calls in arrival order, to the endpoint with the fewest outstanding calls. A baseline. */
  ARRIVAL_LEAST_OUTSTANDING,
  /** The program with the least remaining service first; needs knowledge no real caller has. */
  CLAIRVOYANT_SHORTEST_REMAINING,
  /** Classes in strict order, inside a class the program tree with the least attained service. */
  PROGRAM_LEAST_ATTAINED;

  /** Returns whether the policy has classes, admission, affinity and endpoint health. */
  boolean isManaged() {
    return this == PROGRAM_LEAST_ATTAINED;
  }
}
