package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.retry.Fingerprint;
import io.magnoliaroute.core.retry.Quarantine;
import io.magnoliaroute.core.retry.QuarantineSettings;
import io.magnoliaroute.core.retry.RetryBudget;
import io.magnoliaroute.core.retry.RetrySettings;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;

/** Thread-safe access to the retry budgets and the quarantine of this VM, under one lock. */
public final class RetryGuard {

  private final ReentrantLock lock = new ReentrantLock();
  private final RetryBudget budget = new RetryBudget(RetrySettings.defaults());
  private final Quarantine quarantine = new Quarantine(QuarantineSettings.defaults());

  /** Returns whether the request is quarantined and must be refused without running. */
  boolean isQuarantined(Fingerprint request, long nowMs) {
    lock.lock();
    try {
      return quarantine.isQuarantined(request, nowMs);
    } finally {
      lock.unlock();
    }
  }

  /** Returns the endpoints that the request has crashed. */
  Set<EndpointId> crashedEndpoints(Fingerprint request, long nowMs) {
    lock.lock();
    try {
      return quarantine.crashedEndpoints(request, nowMs);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Records that the request crashed the endpoint.
   *
   * @return the entry to append to the {@code control} stream, if this crash quarantines the
   *     request
   */
  Optional<Quarantine.QuarantineEntry> recordCrash(
      Fingerprint request, EndpointId endpoint, long nowMs) {
    lock.lock();
    try {
      return quarantine.recordCrash(request, endpoint, nowMs);
    } finally {
      lock.unlock();
    }
  }

  /** Applies a quarantine record that was read from the {@code control} stream. */
  public void applyQuarantined(Fingerprint request, long untilMs) {
    lock.lock();
    try {
      quarantine.applyQuarantined(request, untilMs);
    } finally {
      lock.unlock();
    }
  }

  boolean tryAcquireRetry(TeamId team, PoolId pool, long nowMs) {
    lock.lock();
    try {
      return budget.tryAcquire(team, pool, nowMs);
    } finally {
      lock.unlock();
    }
  }

  void recordSuccess(TeamId team, PoolId pool, long nowMs) {
    lock.lock();
    try {
      budget.recordSuccess(team, pool, nowMs);
    } finally {
      lock.unlock();
    }
  }
}
