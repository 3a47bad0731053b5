package io.magnoliaroute.core.cache;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Reconciles the cache contents of the engines of one endpoint group with the status of programs,
 * and releases the memory of programs that have ended.
 *
 * <p>Engines are the source for cache contents, partition owners are the source for the status of
 * programs. Memory is released only after a partition owner has reported that the program ended, so
 * a delayed or lost engine event cannot cause the release of a live program's memory. A program
 * that was cancelled or expired counts as ended.
 *
 * <p>This class is not thread-safe; the group owner guards it with the lock of the endpoint group.
 */
public final class CacheReclaimer {

  private final CacheSettings settings;
  private final Map<EndpointId, EngineHoldings> engines = new HashMap<>();
  private final Map<ProgramId, Known> programs = new HashMap<>();

  private static final class Known {
    private ProgramStatus status;
    private long epoch = Long.MIN_VALUE;
    private long statusAtMs;
    private long askedAtMs = Long.MIN_VALUE;
  }

  /** Creates a reclaimer without any knowledge of cache contents or programs. */
  public CacheReclaimer(CacheSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Adds an engine of the group; its first listing is due immediately. */
  public void addEndpoint(EndpointId endpoint) {
    engines.computeIfAbsent(endpoint, id -> new EngineHoldings());
  }

  /**
   * Removes an engine that has left the group or crashed, together with its known cache contents.
   */
  public void removeEndpoint(EndpointId endpoint) {
    engines.remove(endpoint);
  }

  /**
   * Records that a call of the program was assigned to the engine. From then on, the engine may
   * hold memory of the program, even if its events are lost.
   */
  public void granted(EndpointId endpoint, ProgramId program) {
    holdings(endpoint).granted(program);
  }

  /**
   * Processes the end of a call at the engine. A cancelled call may have stored memory after the
   * memory of its program was released, so the release becomes due again.
   */
  public void callEnded(EndpointId endpoint, ProgramId program) {
    if (isEnded(program) && engines.containsKey(endpoint)) {
      EngineHoldings holdings = holdings(endpoint);
      holdings.released(program);
      holdings.granted(program);
    }
  }

  /** Applies an engine's event; events of engines outside the group are ignored. */
  public void onEvent(CacheEvent event) {
    EngineHoldings holdings = engines.get(event.endpoint());
    if (holdings != null) {
      holdings.apply(event);
    }
  }

  /** Applies a listing that was requested because {@link #listingsDue} returned its engine. */
  public void onListing(CacheListing listing) {
    EngineHoldings holdings = engines.get(listing.endpoint());
    if (holdings != null) {
      holdings.apply(listing);
    }
  }

  /**
   * Applies the status of a program as reported by a partition owner. A status with a lower claim
   * epoch than the known one is ignored, and within an epoch the end of a program is final. A
   * partition owner must have replayed its stream before it reports a status.
   */
  public void onStatus(ProgramId program, ProgramStatus status, long epoch, long nowMs) {
    Known known = programs.computeIfAbsent(program, id -> new Known());
    boolean stale = epoch < known.epoch;
    boolean alreadyEnded = epoch == known.epoch && known.status == ProgramStatus.ENDED;
    if (stale || alreadyEnded) {
      return;
    }
    known.status = status;
    known.epoch = epoch;
    known.statusAtMs = nowMs;
  }

  /** Processes an engine's confirmation that it released the program's memory or holds none. */
  public void released(EndpointId endpoint, ProgramId program) {
    EngineHoldings holdings = engines.get(endpoint);
    if (holdings != null && isEnded(program)) {
      holdings.released(program);
    }
  }

  /** Returns the releases to send now, including repeats of unconfirmed ones. */
  public List<CacheRelease> poll(long nowMs) {
    List<CacheRelease> due = new ArrayList<>();
    for (Map.Entry<EndpointId, EngineHoldings> engine : engines.entrySet()) {
      for (ProgramId program : engine.getValue().copyOfPrograms()) {
        if (isEnded(program) && engine.getValue().takeReleaseDue(program, settings, nowMs)) {
          due.add(new CacheRelease(engine.getKey(), program));
        }
      }
    }
    return due;
  }

  /** Returns the engines from which a listing must be requested now. */
  public List<EndpointId> listingsDue(long nowMs) {
    List<EndpointId> due = new ArrayList<>();
    for (Map.Entry<EndpointId, EngineHoldings> engine : engines.entrySet()) {
      if (engine.getValue().takeListingDue(settings, nowMs)) {
        due.add(engine.getKey());
      }
    }
    return due;
  }

  /** Returns the cached programs whose status must be queried from their partition owners now. */
  public List<ProgramId> statusQueriesDue(long nowMs) {
    List<ProgramId> due = new ArrayList<>();
    for (ProgramId program : heldPrograms()) {
      Known known = programs.computeIfAbsent(program, id -> new Known());
      boolean recentlyQueried =
          known.askedAtMs != Long.MIN_VALUE && nowMs - known.askedAtMs < settings.repeatMs();
      if (needsStatus(known, nowMs) && !recentlyQueried) {
        known.askedAtMs = nowMs;
        due.add(program);
      }
    }
    return due;
  }

  /**
   * Discards the live status of matching programs, so that it is queried again. Used when their
   * partition has a new owner, as the earlier owner may have ended them without notifying this VM.
   */
  public void recheck(Predicate<ProgramId> filter) {
    programs
        .entrySet()
        .removeIf(
            entry -> entry.getValue().status == ProgramStatus.LIVE && filter.test(entry.getKey()));
  }

  /**
   * Discards the status of programs that no engine holds. The status of ended programs is discarded
   * only after the retention period.
   */
  public void expire(long nowMs) {
    Set<ProgramId> held = heldPrograms();
    programs
        .entrySet()
        .removeIf(entry -> !held.contains(entry.getKey()) && isForgotten(entry.getValue(), nowMs));
  }

  /** Returns the number of programs that the engine is assumed to hold, for metrics. */
  public int heldCount(EndpointId endpoint) {
    EngineHoldings holdings = engines.get(endpoint);
    return holdings == null ? 0 : holdings.programs().size();
  }

  private boolean isForgotten(Known known, long nowMs) {
    return known.status != ProgramStatus.ENDED
        || nowMs - known.statusAtMs >= settings.endedRetentionMs();
  }

  private boolean needsStatus(Known known, long nowMs) {
    boolean live = known.status == ProgramStatus.LIVE;
    return known.status == null || (live && nowMs - known.statusAtMs >= settings.liveRecheckMs());
  }

  private boolean isEnded(ProgramId program) {
    Known known = programs.get(program);
    return known != null && known.status == ProgramStatus.ENDED;
  }

  private Set<ProgramId> heldPrograms() {
    Set<ProgramId> held = new LinkedHashSet<>();
    engines.values().forEach(holdings -> held.addAll(holdings.programs()));
    return held;
  }

  private EngineHoldings holdings(EndpointId endpoint) {
    return engines.computeIfAbsent(endpoint, id -> new EngineHoldings());
  }
}
