package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.settings.ProgramLimits;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Objects;

/**
 * Detects a program that loops or exceeds its limits. The owner of a program keeps one guard for it
 * and calls {@link #checkNextCall} once for each turn; retries of a turn are not counted.
 */
public final class LoopGuard {

  /** The longest cycle of calls that is detected; agents commonly alternate between two tools. */
  private static final int MAX_CYCLE_CALLS = 4;

  private final ProgramLimits limits;
  private final Deque<Fingerprint> recentCalls = new ArrayDeque<>(MAX_CYCLE_CALLS);
  private final int[] consecutiveMatches = new int[MAX_CYCLE_CALLS + 1];
  private int turns;
  private long tokens;

  /** Creates the guard of a program that has made no calls yet. */
  public LoopGuard(ProgramLimits limits) {
    this.limits = Objects.requireNonNull(limits, "limits");
  }

  /** Counts the next call and returns whether it may be made. */
  public LoopVerdict checkNextCall(Fingerprint call) {
    turns++;
    boolean cycleDetected = recordAndDetectCycle(call);
    if (turns > limits.maxTurns()) {
      return LoopVerdict.TURN_LIMIT;
    }
    if (tokens >= limits.maxTokens()) {
      return LoopVerdict.TOKEN_LIMIT;
    }
    return cycleDetected ? LoopVerdict.REPETITION : LoopVerdict.CONTINUE;
  }

  /** Adds to the tokens that the program has consumed. */
  public void addTokens(long count) {
    if (count < 0) {
      throw new IllegalArgumentException("count must not be negative, was " + count);
    }
    tokens += count;
  }

  // A cycle of n calls has been repeated maxRepeats times when n * maxRepeats consecutive calls
  // each equal the call n positions earlier.
  private boolean recordAndDetectCycle(Fingerprint call) {
    boolean cycleDetected = false;
    int distance = 1;
    for (Iterator<Fingerprint> earlier = recentCalls.iterator(); earlier.hasNext(); distance++) {
      boolean matches = earlier.next().equals(call);
      consecutiveMatches[distance] = matches ? consecutiveMatches[distance] + 1 : 0;
      cycleDetected |= consecutiveMatches[distance] >= (long) distance * limits.maxRepeats();
    }
    recentCalls.addFirst(call);
    if (recentCalls.size() > MAX_CYCLE_CALLS) {
      recentCalls.removeLast();
    }
    return cycleDetected;
  }
}
