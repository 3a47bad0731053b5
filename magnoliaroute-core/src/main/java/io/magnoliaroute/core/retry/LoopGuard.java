package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.settings.ProgramLimits;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Objects;

/**
 * Detects a program that loops or exceeds its limits. The owner of a program keeps one guard for it
 * and calls {@link #next} once for each turn; retries of a turn are not counted.
 */
public final class LoopGuard {

  /** The longest cycle of calls that is detected; agents commonly alternate between two tools. */
  private static final int MAX_CYCLE_CALLS = 4;

  private final ProgramLimits limits;
  private final Deque<Fingerprint> latest = new ArrayDeque<>(MAX_CYCLE_CALLS);
  private final int[] matchesInRow = new int[MAX_CYCLE_CALLS + 1];
  private int turns;
  private long tokens;

  /** Creates the guard of a program that has made no calls yet. */
  public LoopGuard(ProgramLimits limits) {
    this.limits = Objects.requireNonNull(limits, "limits");
  }

  /** Counts the next call and returns whether it may be made. */
  public LoopVerdict next(Fingerprint call) {
    turns++;
    boolean cycleDetected = countMatches(call);
    if (turns > limits.maxTurns()) {
      return LoopVerdict.TURN_LIMIT;
    }
    if (tokens >= limits.maxTokens()) {
      return LoopVerdict.TOKEN_LIMIT;
    }
    return cycleDetected ? LoopVerdict.REPETITION : LoopVerdict.CONTINUE;
  }

  /** Adds to the tokens that the program has consumed. */
  public void consumed(long count) {
    if (count < 0) {
      throw new IllegalArgumentException("count must not be negative, was " + count);
    }
    tokens += count;
  }

  // A cycle of n calls has been repeated maxRepeats times when n * maxRepeats consecutive calls
  // each equal the call n positions earlier.
  private boolean countMatches(Fingerprint call) {
    boolean cycleDetected = false;
    int distance = 1;
    for (Iterator<Fingerprint> earlier = latest.iterator(); earlier.hasNext(); distance++) {
      boolean matches = earlier.next().equals(call);
      matchesInRow[distance] = matches ? matchesInRow[distance] + 1 : 0;
      cycleDetected |= matchesInRow[distance] >= (long) distance * limits.maxRepeats();
    }
    latest.addFirst(call);
    if (latest.size() > MAX_CYCLE_CALLS) {
      latest.removeLast();
    }
    return cycleDetected;
  }
}
