package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import java.util.Objects;

/**
 * An attempt that failed and may be repeated.
 *
 * @param team the team that pays for the retry
 * @param pool the pool that the call goes to
 * @param attempt the number of the attempt that failed, from 0
 * @param mayRunAgain whether a second run does no harm: the call is idempotent, or is known not to
 *     have run
 * @param deadlineMs the time at which the caller gives up
 * @param expectedRunMs how long another attempt is likely to take
 * @param retryAfterMs the least delay that the endpoint asked for, or 0
 */
public record FailedAttempt(
    TeamId team,
    PoolId pool,
    int attempt,
    boolean mayRunAgain,
    long deadlineMs,
    long expectedRunMs,
    long retryAfterMs) {

  /** Rejects missing parts and negative numbers. */
  public FailedAttempt {
    Objects.requireNonNull(team, "team");
    Objects.requireNonNull(pool, "pool");
    if (attempt < 0 || expectedRunMs < 0 || retryAfterMs < 0) {
      throw new IllegalArgumentException(
          "attempt, expectedRunMs and retryAfterMs must not be negative, were "
              + attempt
              + ", "
              + expectedRunMs
              + ", "
              + retryAfterMs);
    }
  }
}
