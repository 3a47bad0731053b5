package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.UrgentRation;
import java.util.HashMap;
import java.util.Map;

/** Rate limiter of urgent calls with a token bucket for each team. */
final class UrgentRations {

  private static final double MS_PER_MINUTE = 60_000;

  private final Map<TeamId, Bucket> buckets = new HashMap<>();

  /** Returns whether the team may make an urgent call now. */
  boolean has(TeamId team, UrgentRation ration, long nowMs) {
    Bucket bucket = buckets.computeIfAbsent(team, id -> new Bucket(ration.burstCalls(), nowMs));
    bucket.refill(ration, nowMs);
    return bucket.calls >= 1;
  }

  /** Takes one urgent call from the bucket of the team. */
  void take(TeamId team) {
    buckets.get(team).calls--;
  }

  private static final class Bucket {

    private double calls;
    private long filledMs;

    Bucket(double availableCalls, long refilledAtMs) {
      this.calls = availableCalls;
      this.filledMs = refilledAtMs;
    }

    void refill(UrgentRation ration, long nowMs) {
      long elapsedMs = Math.max(0, nowMs - filledMs);
      filledMs = Math.max(filledMs, nowMs);
      calls += elapsedMs * ration.callsPerMinute() / MS_PER_MINUTE;
      calls = Math.min(calls, ration.burstCalls());
    }
  }
}
