package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.settings.ProgramLimits;

/** Decides whether a tool call without a response has timed out. */
public final class ToolTimeout {

  private ToolTimeout() {}

  /** The decision about a tool call. */
  public sealed interface Decision {}

  /**
   * Continue waiting for the response.
   *
   * @param untilMs the time of the next decision
   */
  public record Wait(long untilMs) implements Decision {}

  /**
   * The call has timed out; close the connection and ignore a late response.
   *
   * @param safeToRetry whether a retry is safe and may be requested from the retry planner
   * @param outcome the outcome of the call if there is no further attempt
   */
  public record TimedOut(boolean safeToRetry, Outcome outcome) implements Decision {}

  /**
   * Decides about a call that was sent at the given time. A call that timed out may have run, so
   * its outcome is unknown whether it is idempotent or not.
   */
  public static Decision decide(
      long sentAtMs, long deadlineMs, boolean idempotent, ProgramLimits limits, long nowMs) {
    long untilMs = Math.min(deadlineMs, sentAtMs + limits.toolTimeoutMs());
    if (nowMs < untilMs) {
      return new Wait(untilMs);
    }
    return new TimedOut(idempotent, Outcome.UNKNOWN);
  }
}
