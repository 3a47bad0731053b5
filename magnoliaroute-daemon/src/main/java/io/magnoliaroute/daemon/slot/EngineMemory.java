package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.core.settings.PoolKind;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.daemon.engine.EngineMemoryClient;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.settings.SettingsBoard;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Releases the engine memory of ended programs. It lists what engines hold, because their cache
 * events come late and with gaps, and releases the ended programs among it.
 */
public final class EngineMemory {

  /** Time between two listings of each engine; two fit into the 2 s that memory may stay held. */
  public static final long LISTING_MS = 800;

  private static final int MAX_ENDED = 50_000;

  private final SettingsBoard settings;
  private final EngineMemoryClient engines;
  private final DaemonMetrics metrics;
  private final Predicate<PoolSettings> owns;
  private final Map<ProgramId, Boolean> ended = new ConcurrentHashMap<>();

  /** Makes the controller; {@code owns} says whether this VM owns the group of a pool. */
  public EngineMemory(
      SettingsBoard settings,
      EngineMemoryClient engines,
      DaemonMetrics metrics,
      Predicate<PoolSettings> owns) {
    this.settings = settings;
    this.engines = engines;
    this.metrics = metrics;
    this.owns = owns;
  }

  /** Notes that the program ended. */
  public void ended(ProgramId program) {
    if (ended.size() >= MAX_ENDED) {
      ended.clear();
      metrics.count("ended_programs_forgotten");
    }
    ended.put(program, true);
  }

  /** Lists the engines of owned groups and releases what ended programs hold. */
  public void poll() {
    if (ended.isEmpty()) {
      return;
    }
    for (PoolSettings pool : settings.current().tree().pools().values()) {
      if (pool.kind() == PoolKind.MODEL && owns.test(pool)) {
        pool.endpoints().forEach(this::list);
      }
    }
  }

  /** Releases the program at the endpoint at once, where it is known to be held there. */
  public void release(EndpointId endpoint, ProgramId program) {
    EndpointSettings known = settings.current().endpoints().get(endpoint);
    if (known != null) {
      release(known, program);
    }
  }

  private void list(EndpointSettings endpoint) {
    engines
        .listing(endpoint)
        .onFailure(failure -> metrics.count("cache_listing_failures"))
        .onSuccess(
            held -> {
              for (String key : held.keySet()) {
                ProgramId program = programOf(key);
                if (program != null && ended.containsKey(program)) {
                  release(endpoint, program);
                }
              }
            });
  }

  private void release(EndpointSettings endpoint, ProgramId program) {
    engines
        .release(endpoint, program)
        .onSuccess(released -> metrics.count("cache_releases"))
        .onFailure(failure -> metrics.count("cache_release_failures"));
  }

  private static ProgramId programOf(String key) {
    try {
      return new ProgramId(key);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }
}
