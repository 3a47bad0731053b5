package io.magnoliaroute.core.schedule;

/** How a group scheduler orders waiting calls and chooses endpoints. */
public enum SchedulingPolicy {
  /** Calls in arrival order, endpoints in turn, without windows. A baseline for benchmarks. */
  ARRIVAL_ROUND_ROBIN {
    @Override
    double orderKey(WaitingCall call, long attainedUnits, long queuedMs) {
      return queuedMs;
    }

    @Override
    boolean takesTurns() {
      return true;
    }
  },
  /** Calls in arrival order to the endpoint with the fewest outstanding calls. A baseline. */
  ARRIVAL_LEAST_OUTSTANDING {
    @Override
    double orderKey(WaitingCall call, long attainedUnits, long queuedMs) {
      return queuedMs;
    }
  },
  /** The program with the least remaining service first; needs knowledge no real caller has. */
  CLAIRVOYANT_SHORTEST_REMAINING {
    @Override
    double orderKey(WaitingCall call, long attainedUnits, long queuedMs) {
      return call.remainingServiceUnits();
    }

    @Override
    boolean hasWindows() {
      return true;
    }
  },
  /** Classes in strict order, inside a class the program tree with the least attained service. */
  PROGRAM_LEAST_ATTAINED {
    /**
     * Waiting time, time to the deadline and attained service are added up in milliseconds. Each
     * call's sum changes at the same rate, so the order between two calls never changes while they
     * wait and the queue need not be sorted again.
     */
    @Override
    double orderKey(WaitingCall call, long attainedUnits, long queuedMs) {
      long slackMs = Math.min(MAX_SLACK_MS, Math.max(0, call.deadlineMs() - queuedMs));
      return queuedMs + SLACK_WEIGHT * slackMs + ATTAINED_MS_PER_UNIT * attainedUnits;
    }

    @Override
    boolean hasWindows() {
      return true;
    }

    @Override
    boolean isManaged() {
      return true;
    }
  };

  /** Deadlines later than this do not make a call wait longer. */
  private static final long MAX_SLACK_MS = 600_000;

  private static final double SLACK_WEIGHT = 0.5;

  /** The wait by which a call makes up for one unit of service that its program has had. */
  private static final double ATTAINED_MS_PER_UNIT = 4;

  /** Returns the place of a call in its class; the lowest is served first. */
  abstract double orderKey(WaitingCall call, long attainedUnits, long queuedMs);

  /** Returns whether calls wait here while the windows of endpoints are full. */
  boolean hasWindows() {
    return false;
  }

  /** Returns whether endpoints are taken in turn. */
  boolean takesTurns() {
    return false;
  }

  /** Returns whether the policy has classes, rations, admission, preemption and hedges. */
  boolean isManaged() {
    return false;
  }
}
