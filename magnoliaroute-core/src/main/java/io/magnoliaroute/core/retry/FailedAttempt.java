package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import java.util.Objects;

/**
 * A failed attempt that is considered for a retry.
 *
 * @param team the team whose retry budget is charged
 * @param pool the pool that serves the call
 * @param attempt the number of the failed attempt, starting at 0
 * @param safeToRetry whether a retry is safe, because the call is idempotent or is known not to
 *     have run
 * @param deadlineMs the deadline of the caller
 * @param expectedRunMs the expected duration of another attempt
 * @param retryAfterMs the minimum delay requested by the endpoint, or 0
 */
public record FailedAttempt(
    TeamId team,
    PoolId pool,
    int attempt,
    boolean safeToRetry,
    long deadlineMs,
    long expectedRunMs,
    long retryAfterMs) {

  /**
   * Validates that the team and pool are present and that counts and durations are not negative.
   */
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
