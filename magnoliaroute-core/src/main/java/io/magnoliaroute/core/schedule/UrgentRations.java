package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.UrgentRation;
import java.util.HashMap;
import java.util.Map;

/** A token bucket of urgent calls for each team. */
final class UrgentRations {

  private static final double MS_PER_MINUTE = 60_000;

  private final Map<TeamId, Bucket> buckets = new HashMap<>();

  /** Returns whether the team has an urgent call left. */
  boolean has(TeamId team, UrgentRation ration, long nowMs) {
    Bucket bucket = buckets.computeIfAbsent(team, id -> new Bucket(ration.burstCalls(), nowMs));
    bucket.refill(ration, nowMs);
    return bucket.calls >= 1;
  }

  /** Takes one urgent call from the ration of the team. */
  void take(TeamId team) {
    buckets.get(team).calls--;
  }

  private static final class Bucket {

    private double calls;
    private long filledMs;

    Bucket(double calls, long filledMs) {
      this.calls = calls;
      this.filledMs = filledMs;
    }

    void refill(UrgentRation ration, long nowMs) {
      long passedMs = Math.max(0, nowMs - filledMs);
      filledMs = Math.max(filledMs, nowMs);
      calls += passedMs * ration.callsPerMinute() / MS_PER_MINUTE;
      calls = Math.min(calls, ration.burstCalls());
    }
  }
}
