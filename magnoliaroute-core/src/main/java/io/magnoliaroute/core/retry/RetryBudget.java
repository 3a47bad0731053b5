package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Bounds retries and hedges for each team and pool, so that failures do not multiply the load.
 *
 * <p>Each pair of team and pool has a token bucket. A success adds a fraction of a token, time adds
 * a small floor, and a retry or hedge takes one. Not safe for use by several threads; the caller
 * keeps it in {@code Sharded} by team.
 */
public final class RetryBudget {

  private static final double MS_PER_SECOND = 1_000.0;

  /** Pairs kept; full buckets are dropped first, then the one refilled longest ago. */
  static final int MAX_BUCKETS = 10_000;

  private final RetrySettings settings;
  private final Map<Key, Bucket> buckets = new HashMap<>();

  private record Key(TeamId team, PoolId pool) {}

  private static final class Bucket {
    private double tokens;
    private long refilledAtMs;
  }

  /** Makes a budget in which each pair starts with a full bucket. */
  public RetryBudget(RetrySettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Takes the permission for one retry, or returns false and changes nothing. */
  public boolean tryAcquire(TeamId team, PoolId pool, long nowMs) {
    Bucket bucket = bucket(team, pool, nowMs);
    if (bucket.tokens < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  /** Takes the permission for one hedge of an idempotent call; draws on the same bucket. */
  public boolean tryAcquireHedge(TeamId team, PoolId pool, boolean idempotent, long nowMs) {
    return idempotent && tryAcquire(team, pool, nowMs);
  }

  /** Records a call that succeeded without a retry. */
  public void succeeded(TeamId team, PoolId pool, long nowMs) {
    Bucket bucket = bucket(team, pool, nowMs);
    bucket.tokens = Math.min(settings.burst(), bucket.tokens + settings.refillPerSuccess());
  }

  /** Returns the retries available now, for status pages. */
  public double available(TeamId team, PoolId pool, long nowMs) {
    return bucket(team, pool, nowMs).tokens;
  }

  int size() {
    return buckets.size();
  }

  private Bucket bucket(TeamId team, PoolId pool, long nowMs) {
    Key key = new Key(team, pool);
    Bucket bucket = buckets.get(key);
    if (bucket == null) {
      bucket = addBucket(key, nowMs);
    }
    refill(bucket, nowMs);
    return bucket;
  }

  private void refill(Bucket bucket, long nowMs) {
    long elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
    double earned = elapsedMs * settings.floorPerSecond() / MS_PER_SECOND;
    bucket.tokens = Math.min(settings.burst(), bucket.tokens + earned);
    bucket.refilledAtMs = Math.max(bucket.refilledAtMs, nowMs);
  }

  private Bucket addBucket(Key key, long nowMs) {
    if (buckets.size() >= MAX_BUCKETS) {
      dropFull(nowMs);
    }
    Bucket bucket = new Bucket();
    bucket.refilledAtMs = nowMs;
    bucket.tokens = settings.burst();
    if (buckets.size() >= MAX_BUCKETS) {
      // The new pair may have been dropped before; starting full would refill it.
      bucket.tokens = 0;
      dropOldest();
    }
    buckets.put(key, bucket);
    return bucket;
  }

  // A full bucket is the same as none.
  private void dropFull(long nowMs) {
    buckets.values().forEach(bucket -> refill(bucket, nowMs));
    buckets.values().removeIf(bucket -> bucket.tokens >= settings.burst());
  }

  private void dropOldest() {
    Key oldest = null;
    long oldestMs = Long.MAX_VALUE;
    for (Map.Entry<Key, Bucket> entry : buckets.entrySet()) {
      if (entry.getValue().refilledAtMs < oldestMs) {
        oldest = entry.getKey();
        oldestMs = entry.getValue().refilledAtMs;
      }
    }
    buckets.remove(oldest);
  }
}
