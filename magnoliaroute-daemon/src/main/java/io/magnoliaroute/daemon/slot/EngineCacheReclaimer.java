package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.cache.CacheListing;
import io.magnoliaroute.core.cache.CacheReclaimer;
import io.magnoliaroute.core.cache.CacheRelease;
import io.magnoliaroute.core.cache.CacheSettings;
import io.magnoliaroute.core.cache.ProgramStatus;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.core.settings.PoolKind;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.daemon.engine.EngineCacheClient;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.settings.ActiveSettings;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Releases the engine memory of ended programs. It polls the engines of owned groups for the
 * programs whose cache they hold, because cache events arrive late and with gaps. For programs
 * whose end was not reported, it queries the partition owners for the status.
 */
public final class EngineCacheReclaimer {

  /** The interval between two rounds in ms. */
  public static final long ROUND_INTERVAL_MS = 200;

  // The memory of an ended program must be released within 2 s, which leaves time for two listings.
  // A reported program end is remembered for 60 s; after that the partition owner is queried.
  private static final CacheSettings CACHE_SETTINGS = new CacheSettings(500, 800, 10_000, 60_000);

  // Statuses come from owners that confirmed their ownership, so they need no ordering by epoch.
  private static final long EPOCH = 0;
  private static final long NO_SEQUENCE = 0;

  private final ActiveSettings settings;
  private final EngineCacheClient cacheClient;
  private final DaemonMetrics metrics;
  private final Predicate<PoolSettings> ownsPool;
  private final ProgramStatusSource statusSource;
  private final InstantSource clock;
  private final ReentrantLock lock = new ReentrantLock();
  private final CacheReclaimer reclaimer = new CacheReclaimer(CACHE_SETTINGS);
  private final Set<EndpointId> watchedEndpoints = new HashSet<>();

  /** Creates the reclaimer; {@code ownsPool} tests whether this VM owns the group of a pool. */
  public EngineCacheReclaimer(
      ActiveSettings settings,
      EngineCacheClient cacheClient,
      DaemonMetrics metrics,
      Predicate<PoolSettings> ownsPool,
      ProgramStatusSource statusSource,
      InstantSource clock) {
    this.settings = settings;
    this.cacheClient = cacheClient;
    this.metrics = metrics;
    this.ownsPool = ownsPool;
    this.statusSource = statusSource;
    this.clock = clock;
  }

  /** Records that the program has ended. */
  public void onProgramEnded(ProgramId program) {
    recordStatus(program, ProgramStatus.ENDED);
  }

  /**
   * Schedules a new status query for all running programs, because the lost VM may have ended some
   * of them without a report reaching this VM.
   */
  public void onOwnerLost() {
    withLock(
        cache -> {
          cache.invalidateLiveStatuses(program -> true);
          return null;
        });
  }

  /** Runs one round of the listings, status queries and releases that are due. */
  public void runRound() {
    long nowMs = clock.millis();
    updateWatchedEndpoints();
    List<EndpointId> listings = withLock(cache -> cache.listingsDue(nowMs));
    List<ProgramId> statusQueries = withLock(cache -> cache.statusQueriesDue(nowMs));
    List<CacheRelease> releases = withLock(cache -> cache.releasesDue(nowMs));
    withLock(
        cache -> {
          cache.expireStatuses(nowMs);
          return null;
        });
    listings.forEach(this::fetchListing);
    statusQueries.forEach(this::queryStatus);
    releases.forEach(due -> release(due.endpoint(), due.program()));
  }

  /**
   * Releases the memory of the program at the endpoint immediately, if the endpoint is configured.
   */
  public void release(EndpointId endpoint, ProgramId program) {
    EndpointSettings endpointSettings = settings.current().endpointsById().get(endpoint);
    if (endpointSettings == null) {
      return;
    }
    cacheClient
        .release(endpointSettings, program)
        .onFailure(failure -> metrics.increment("cache_release_failures"))
        .onSuccess(
            released -> {
              metrics.increment("cache_releases");
              withLock(
                  cache -> {
                    cache.onReleased(endpoint, program);
                    return null;
                  });
            });
  }

  private void updateWatchedEndpoints() {
    Set<EndpointId> owned =
        settings.current().tree().pools().values().stream()
            .filter(pool -> pool.kind() == PoolKind.MODEL && ownsPool.test(pool))
            .flatMap(pool -> pool.endpoints().stream())
            .map(EndpointSettings::id)
            .collect(Collectors.toSet());
    withLock(
        cache -> {
          owned.stream().filter(watchedEndpoints::add).forEach(cache::addEndpoint);
          watchedEndpoints.stream()
              .filter(id -> !owned.contains(id))
              .forEach(cache::removeEndpoint);
          watchedEndpoints.retainAll(owned);
          return null;
        });
  }

  private void fetchListing(EndpointId endpoint) {
    EndpointSettings endpointSettings = settings.current().endpointsById().get(endpoint);
    if (endpointSettings == null) {
      return;
    }
    cacheClient
        .listCachedTokens(endpointSettings)
        .onFailure(failure -> metrics.increment("cache_listing_failures"))
        .onSuccess(
            cachedTokens -> {
              Set<ProgramId> programs =
                  cachedTokens.keySet().stream()
                      .map(EngineCacheReclaimer::programOf)
                      .flatMap(Optional::stream)
                      .collect(Collectors.toSet());
              withLock(
                  cache -> {
                    cache.onListing(new CacheListing(endpoint, NO_SEQUENCE, programs));
                    return null;
                  });
            });
  }

  private void queryStatus(ProgramId program) {
    statusSource
        .statusOf(program)
        .onSuccess(status -> recordStatus(program, status))
        .onFailure(failure -> metrics.increment("program_status_failures"));
  }

  private void recordStatus(ProgramId program, ProgramStatus status) {
    long nowMs = clock.millis();
    withLock(
        cache -> {
          cache.onStatus(program, status, EPOCH, nowMs);
          return null;
        });
  }

  private <R> R withLock(Function<CacheReclaimer, R> function) {
    lock.lock();
    try {
      return function.apply(reclaimer);
    } finally {
      lock.unlock();
    }
  }

  private static Optional<ProgramId> programOf(String key) {
    try {
      return Optional.of(new ProgramId(key));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
