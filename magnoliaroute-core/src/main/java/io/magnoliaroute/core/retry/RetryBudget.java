package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Limits retries and hedges for each team and pool, so that failures do not multiply the load.
 *
 * <p>Each pair of team and pool has a token bucket. Each success adds a fraction of a token, tokens
 * are also added at a low constant rate, and each retry or hedge takes one token. Not thread-safe;
 * the caller must guard it with a lock, for example by keeping it in {@code Sharded} by team.
 */
public final class RetryBudget {

  private static final double MS_PER_SECOND = 1_000.0;

  /**
   * The maximum number of buckets. Full buckets are removed first, then the least recently refilled
   * one.
   */
  static final int MAX_BUCKETS = 10_000;

  private final RetrySettings settings;
  private final Map<Key, Bucket> buckets = new HashMap<>();

  private record Key(TeamId team, PoolId pool) {}

  private static final class Bucket {
    private double tokens;
    private long refilledAtMs;
  }

  /** Creates a budget in which each pair of team and pool starts with a full bucket. */
  public RetryBudget(RetrySettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Takes the token for one retry, or returns false if none is available. */
  public boolean tryAcquire(TeamId team, PoolId pool, long nowMs) {
    Bucket bucket = bucket(team, pool, nowMs);
    if (bucket.tokens < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  /**
   * Takes the token for one hedge from the same bucket, or returns false if none is available or
   * the call is not idempotent.
   */
  public boolean tryAcquireHedge(TeamId team, PoolId pool, boolean idempotent, long nowMs) {
    return idempotent && tryAcquire(team, pool, nowMs);
  }

  /** Records a call that succeeded without a retry. */
  public void recordSuccess(TeamId team, PoolId pool, long nowMs) {
    Bucket bucket = bucket(team, pool, nowMs);
    bucket.tokens = Math.min(settings.burst(), bucket.tokens + settings.refillPerSuccess());
  }

  /** Returns the number of retries currently available, for status pages. */
  public double availableRetries(TeamId team, PoolId pool, long nowMs) {
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
    double refill = elapsedMs * settings.refillPerSecond() / MS_PER_SECOND;
    bucket.tokens = Math.min(settings.burst(), bucket.tokens + refill);
    bucket.refilledAtMs = Math.max(bucket.refilledAtMs, nowMs);
  }

  private Bucket addBucket(Key key, long nowMs) {
    if (buckets.size() >= MAX_BUCKETS) {
      removeFullBuckets(nowMs);
    }
    Bucket bucket = new Bucket();
    bucket.refilledAtMs = nowMs;
    bucket.tokens = settings.burst();
    if (buckets.size() >= MAX_BUCKETS) {
      // The bucket of this pair may have been evicted earlier. Starting with a full bucket would
      // then give the pair additional retries.
      bucket.tokens = 0;
      evictOldest();
    }
    buckets.put(key, bucket);
    return bucket;
  }

  // A full bucket holds no information, because a new bucket starts full.
  private void removeFullBuckets(long nowMs) {
    buckets.values().forEach(bucket -> refill(bucket, nowMs));
    buckets.values().removeIf(bucket -> bucket.tokens >= settings.burst());
  }

  private void evictOldest() {
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
