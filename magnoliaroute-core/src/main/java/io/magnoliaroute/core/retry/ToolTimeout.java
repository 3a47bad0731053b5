package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.settings.ProgramLimits;

/** Decides about a tool call that has not answered. */
public final class ToolTimeout {

  private ToolTimeout() {}

  /** The decision. */
  public sealed interface Decision {}

  /**
   * Keep waiting.
   *
   * @param untilMs when to decide again
   */
  public record Wait(long untilMs) implements Decision {}

  /**
   * The call counts as hung; drop the connection and ignore a late answer.
   *
   * @param mayRunAgain whether the retry planner may be asked
   * @param outcome the outcome if there is no further attempt
   */
  public record Hung(boolean mayRunAgain, Outcome outcome) implements Decision {}

  /**
   * Decides about a call that was sent at a time. A hung call has been sent and may have run, so
   * its outcome is unknown whether it is idempotent or not.
   */
  public static Decision decide(
      long sentAtMs, long deadlineMs, boolean idempotent, ProgramLimits limits, long nowMs) {
    long untilMs = Math.min(deadlineMs, sentAtMs + limits.toolTimeoutMs());
    if (nowMs < untilMs) {
      return new Wait(untilMs);
    }
    return new Hung(idempotent, Outcome.UNKNOWN);
  }
}
