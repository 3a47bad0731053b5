package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.UrgentRation;
import java.util.HashMap;
import java.util.Map;

/** Rate limiter of urgent calls with a token bucket for each team. */
final class UrgentRateLimiter {

  private static final double MS_PER_MINUTE = 60_000;

  private final Map<TeamId, TokenBucket> buckets = new HashMap<>();

  /** Returns whether the team may make an urgent call now. */
  boolean isAvailable(TeamId team, UrgentRation ration, long nowMs) {
    TokenBucket bucket =
        buckets.computeIfAbsent(team, id -> new TokenBucket(ration.burstCalls(), nowMs));
    bucket.refill(ration, nowMs);
    return bucket.availableCalls >= 1;
  }

  /** Takes one urgent call from the bucket of the team. */
  void take(TeamId team) {
    buckets.get(team).availableCalls--;
  }

  private static final class TokenBucket {

    private double availableCalls;
    private long refilledAtMs;

    TokenBucket(double availableCalls, long refilledAtMs) {
      this.availableCalls = availableCalls;
      this.refilledAtMs = refilledAtMs;
    }

    void refill(UrgentRation ration, long nowMs) {
      long elapsedMs = Math.max(0, nowMs - refilledAtMs);
      refilledAtMs = Math.max(refilledAtMs, nowMs);
      availableCalls += elapsedMs * ration.callsPerMinute() / MS_PER_MINUTE;
      availableCalls = Math.min(availableCalls, ration.burstCalls());
    }
  }
}
