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
import io.magnoliaroute.daemon.engine.EngineMemoryClient;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.settings.SettingsBoard;
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
 * Releases the engine memory of ended programs. It lists what the engines of owned groups hold,
 * because their cache events come late and with gaps, and asks partition owners for the programs
 * that it was not told of.
 */
public final class EngineMemory {

  /** The time between two rounds. */
  public static final long ROUND_MS = 200;

  // Two listings fit into the 2 s for which the memory of an ended program may stay held. A notice
  // of an end is remembered for a minute; after that the partition owner is asked.
  private static final CacheSettings PERIODS = new CacheSettings(500, 800, 10_000, 60_000);

  // Statuses come from owners that confirmed their claim, so that they need no order of epochs.
  private static final long EPOCH = 0;
  private static final long NO_SEQUENCE = 0;

  private final SettingsBoard settings;
  private final EngineMemoryClient engines;
  private final DaemonMetrics metrics;
  private final Predicate<PoolSettings> owns;
  private final ProgramStatusSource statuses;
  private final InstantSource clock;
  private final ReentrantLock lock = new ReentrantLock();
  private final CacheReclaimer reclaimer = new CacheReclaimer(PERIODS);
  private final Set<EndpointId> watched = new HashSet<>();

  /** Makes the controller; {@code owns} says whether this VM owns the group of a pool. */
  public EngineMemory(
      SettingsBoard settings,
      EngineMemoryClient engines,
      DaemonMetrics metrics,
      Predicate<PoolSettings> owns,
      ProgramStatusSource statuses,
      InstantSource clock) {
    this.settings = settings;
    this.engines = engines;
    this.metrics = metrics;
    this.owns = owns;
    this.statuses = statuses;
    this.clock = clock;
  }

  /** Notes that the program ended. */
  public void ended(ProgramId program) {
    noteStatus(program, ProgramStatus.ENDED);
  }

  /** Asks again for all live programs, because a VM that may have ended some of them is gone. */
  public void ownerLost() {
    locked(
        held -> {
          held.recheck(program -> true);
          return null;
        });
  }

  /** Runs one round: listings, questions and releases that are due. */
  public void poll() {
    long nowMs = clock.millis();
    watchOwned();
    List<EndpointId> listings = locked(held -> held.listingsDue(nowMs));
    List<ProgramId> questions = locked(held -> held.statusQueriesDue(nowMs));
    List<CacheRelease> releases = locked(held -> held.poll(nowMs));
    locked(
        held -> {
          held.expire(nowMs);
          return null;
        });
    listings.forEach(this::list);
    questions.forEach(this::ask);
    releases.forEach(due -> release(due.endpoint(), due.program()));
  }

  /** Releases the program at the endpoint at once, where it is known to be held there. */
  public void release(EndpointId endpoint, ProgramId program) {
    EndpointSettings known = settings.current().endpoints().get(endpoint);
    if (known == null) {
      return;
    }
    engines
        .release(known, program)
        .onFailure(failure -> metrics.count("cache_release_failures"))
        .onSuccess(
            released -> {
              metrics.count("cache_releases");
              locked(
                  held -> {
                    held.released(endpoint, program);
                    return null;
                  });
            });
  }

  private void watchOwned() {
    Set<EndpointId> owned =
        settings.current().tree().pools().values().stream()
            .filter(pool -> pool.kind() == PoolKind.MODEL && owns.test(pool))
            .flatMap(pool -> pool.endpoints().stream())
            .map(EndpointSettings::id)
            .collect(Collectors.toSet());
    locked(
        held -> {
          owned.stream().filter(watched::add).forEach(held::addEndpoint);
          watched.stream().filter(id -> !owned.contains(id)).forEach(held::removeEndpoint);
          watched.retainAll(owned);
          return null;
        });
  }

  private void list(EndpointId endpoint) {
    EndpointSettings known = settings.current().endpoints().get(endpoint);
    if (known == null) {
      return;
    }
    engines
        .listing(known)
        .onFailure(failure -> metrics.count("cache_listing_failures"))
        .onSuccess(
            listed -> {
              Set<ProgramId> programs =
                  listed.keySet().stream()
                      .map(EngineMemory::programOf)
                      .flatMap(Optional::stream)
                      .collect(Collectors.toSet());
              locked(
                  held -> {
                    held.onListing(new CacheListing(endpoint, NO_SEQUENCE, programs));
                    return null;
                  });
            });
  }

  private void ask(ProgramId program) {
    statuses
        .statusOf(program)
        .onSuccess(status -> noteStatus(program, status))
        .onFailure(failure -> metrics.count("program_status_failures"));
  }

  private void noteStatus(ProgramId program, ProgramStatus status) {
    long nowMs = clock.millis();
    locked(
        held -> {
          held.onStatus(program, status, EPOCH, nowMs);
          return null;
        });
  }

  private <R> R locked(Function<CacheReclaimer, R> function) {
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
