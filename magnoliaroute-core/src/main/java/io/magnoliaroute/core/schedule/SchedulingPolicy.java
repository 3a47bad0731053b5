package io.magnoliaroute.core.schedule;

/** Policy by which a group scheduler orders waiting calls and chooses endpoints. */
public enum SchedulingPolicy {
  /**
   * Calls in arrival order and endpoints round-robin, without windows. A baseline for benchmarks.
   */
  ARRIVAL_ROUND_ROBIN {
    @Override
    double orderKey(WaitingCall call, long attainedUnits, long queuedMs) {
      return queuedMs;
    }

    @Override
    boolean isRoundRobin() {
      return true;
    }
  },
  /**
   * Calls in arrival order to the endpoint with the fewest outstanding calls, without windows. A
   * baseline for benchmarks.
   */
  ARRIVAL_LEAST_OUTSTANDING {
    @Override
    double orderKey(WaitingCall call, long attainedUnits, long queuedMs) {
      return queuedMs;
    }
  },
  /**
   * The program with the least remaining service first. A baseline for benchmarks, because real
   * callers do not know the remaining service.
   */
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
  /**
   * Priority classes in strict order; within a class, the program tree with the least attained
   * service first, adjusted for waiting time and deadline.
   */
  PROGRAM_LEAST_ATTAINED {
    /**
     * Combines arrival time, time to the deadline and attained service into one key in
     * milliseconds. Waiting changes the precedence of all waiting calls at the same rate, so the
     * order of two calls never changes and the queue need not be sorted again.
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

  /**
   * Upper limit of the time to the deadline; deadlines farther away do not delay a call any more.
   */
  private static final long MAX_SLACK_MS = 600_000;

  private static final double SLACK_WEIGHT = 0.5;

  /** Waiting time that offsets one unit of service attained by the program. */
  private static final double ATTAINED_MS_PER_UNIT = 4;

  /**
   * Returns the key that orders a call within its class; the call with the lowest key is served
   * first.
   */
  abstract double orderKey(WaitingCall call, long attainedUnits, long queuedMs);

  /** Returns whether calls are queued while the windows of all endpoints are full. */
  boolean hasWindows() {
    return false;
  }

  /** Returns whether endpoints are chosen round-robin. */
  boolean isRoundRobin() {
    return false;
  }

  /**
   * Returns whether the policy uses priority classes, urgent rations, admission control, preemption
   * and hedging.
   */
  boolean isManaged() {
    return false;
  }
}
