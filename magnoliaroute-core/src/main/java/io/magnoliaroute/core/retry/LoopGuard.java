package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.settings.ProgramLimits;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Objects;

/**
 * Stops one program that loops. The owner of the program keeps one guard for it and asks it once
 * for each turn; repeated attempts of a turn are not counted.
 */
public final class LoopGuard {

  /** The longest cycle of calls that is found; agents that alternate two tools are common. */
  private static final int MAX_CYCLE_CALLS = 4;

  private final ProgramLimits limits;
  private final Deque<Fingerprint> latest = new ArrayDeque<>(MAX_CYCLE_CALLS);
  private final int[] matchesInRow = new int[MAX_CYCLE_CALLS + 1];
  private int turns;
  private long tokens;

  /** Makes the guard of a program that has made no call. */
  public LoopGuard(ProgramLimits limits) {
    this.limits = Objects.requireNonNull(limits, "limits");
  }

  /** Counts the next call and says whether it may be made. */
  public LoopVerdict next(Fingerprint call) {
    turns++;
    boolean repeats = countMatches(call);
    if (turns > limits.maxTurns()) {
      return LoopVerdict.TURN_LIMIT;
    }
    if (tokens >= limits.maxTokens()) {
      return LoopVerdict.TOKEN_LIMIT;
    }
    return repeats ? LoopVerdict.REPETITION : LoopVerdict.CONTINUE;
  }

  /** Adds tokens that the program has consumed. */
  public void consumed(long count) {
    if (count < 0) {
      throw new IllegalArgumentException("count must not be negative, was " + count);
    }
    tokens += count;
  }

  // A cycle of n calls has been made more than maxRepeats times when n * maxRepeats calls in a row
  // were equal to the call n before them.
  private boolean countMatches(Fingerprint call) {
    boolean repeats = false;
    int distance = 1;
    for (Iterator<Fingerprint> before = latest.iterator(); before.hasNext(); distance++) {
      boolean matches = before.next().equals(call);
      matchesInRow[distance] = matches ? matchesInRow[distance] + 1 : 0;
      repeats |= matchesInRow[distance] >= (long) distance * limits.maxRepeats();
    }
    latest.addFirst(call);
    if (latest.size() > MAX_CYCLE_CALLS) {
      latest.removeLast();
    }
    return repeats;
  }
}
