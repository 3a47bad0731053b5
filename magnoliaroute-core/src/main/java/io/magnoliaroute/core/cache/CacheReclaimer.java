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
 * <p>Engines are authoritative for cache contents, partition owners for the status of programs.
 * Memory is released only after a partition owner has reported that the program ended, so a delayed
 * or lost engine event cannot cause the release of a live program's memory. A program that was
 * cancelled or expired counts as ended.
 *
 * <p>This class is not thread-safe; the group owner guards it with the lock of the endpoint group.
 */
public final class CacheReclaimer {

  private final CacheSettings settings;
  private final Map<EndpointId, EngineCacheState> engineStates = new HashMap<>();
  private final Map<ProgramId, StatusEntry> programs = new HashMap<>();

  private static final class StatusEntry {
    private ProgramStatus status;
    private long epoch = Long.MIN_VALUE;
    private long statusAtMs;
    private long queriedAtMs = Long.MIN_VALUE;
  }

  /** Creates a reclaimer without any knowledge of cache contents or programs. */
  public CacheReclaimer(CacheSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Adds an engine of the group; its first listing is due immediately. */
  public void addEndpoint(EndpointId endpoint) {
    engineStates.computeIfAbsent(endpoint, id -> new EngineCacheState());
  }

  /**
   * Removes an engine that has left the group or crashed, together with its known cache contents.
   */
  public void removeEndpoint(EndpointId endpoint) {
    engineStates.remove(endpoint);
  }

  /**
   * Records that a call of the program was assigned to the engine. From then on, the engine may
   * hold memory of the program, even if its events are lost.
   */
  public void onGrant(EndpointId endpoint, ProgramId program) {
    engineState(endpoint).onGrant(program);
  }

  /**
   * Processes the end of a call at the engine. A cancelled call may have stored memory after the
   * memory of its program was released, so the release becomes due again.
   */
  public void onCallEnded(EndpointId endpoint, ProgramId program) {
    if (isEnded(program) && engineStates.containsKey(endpoint)) {
      EngineCacheState engineState = engineState(endpoint);
      engineState.onReleased(program);
      engineState.onGrant(program);
    }
  }

  /** Applies an engine's event; events of engines outside the group are ignored. */
  public void onEvent(CacheEvent event) {
    EngineCacheState engineState = engineStates.get(event.endpoint());
    if (engineState != null) {
      engineState.apply(event);
    }
  }

  /** Applies a listing that was requested because {@link #listingsDue} returned its engine. */
  public void onListing(CacheListing listing) {
    EngineCacheState engineState = engineStates.get(listing.endpoint());
    if (engineState != null) {
      engineState.apply(listing);
    }
  }

  /**
   * Applies the status of a program as reported by a partition owner. A status with a lower claim
   * epoch than the known one is ignored, and within an epoch the end of a program is final. A
   * partition owner must have replayed its stream before it reports a status.
   */
  public void onStatus(ProgramId program, ProgramStatus status, long epoch, long nowMs) {
    StatusEntry entry = programs.computeIfAbsent(program, id -> new StatusEntry());
    boolean stale = epoch < entry.epoch;
    boolean alreadyEnded = epoch == entry.epoch && entry.status == ProgramStatus.ENDED;
    if (stale || alreadyEnded) {
      return;
    }
    entry.status = status;
    entry.epoch = epoch;
    entry.statusAtMs = nowMs;
  }

  /** Processes an engine's confirmation that it released the program's memory or holds none. */
  public void onReleased(EndpointId endpoint, ProgramId program) {
    EngineCacheState engineState = engineStates.get(endpoint);
    if (engineState != null && isEnded(program)) {
      engineState.onReleased(program);
    }
  }

  /** Returns the releases to send now, including repeats of unconfirmed ones. */
  public List<CacheRelease> releasesDue(long nowMs) {
    List<CacheRelease> due = new ArrayList<>();
    for (Map.Entry<EndpointId, EngineCacheState> engine : engineStates.entrySet()) {
      for (ProgramId program : engine.getValue().copyOfPrograms()) {
        if (isEnded(program) && engine.getValue().requestReleaseIfDue(program, settings, nowMs)) {
          due.add(new CacheRelease(engine.getKey(), program));
        }
      }
    }
    return due;
  }

  /** Returns the engines from which a listing must be requested now. */
  public List<EndpointId> listingsDue(long nowMs) {
    List<EndpointId> due = new ArrayList<>();
    for (Map.Entry<EndpointId, EngineCacheState> engine : engineStates.entrySet()) {
      if (engine.getValue().requestListingIfDue(settings, nowMs)) {
        due.add(engine.getKey());
      }
    }
    return due;
  }

  /** Returns the cached programs whose status must be queried from their partition owners now. */
  public List<ProgramId> statusQueriesDue(long nowMs) {
    List<ProgramId> due = new ArrayList<>();
    for (ProgramId program : cachedPrograms()) {
      StatusEntry entry = programs.computeIfAbsent(program, id -> new StatusEntry());
      boolean recentlyQueried =
          entry.queriedAtMs != Long.MIN_VALUE
              && nowMs - entry.queriedAtMs < settings.retryIntervalMs();
      if (needsStatusQuery(entry, nowMs) && !recentlyQueried) {
        entry.queriedAtMs = nowMs;
        due.add(program);
      }
    }
    return due;
  }

  /**
   * Discards the live status of matching programs, so that it is queried again. Used when their
   * partition has a new owner, as the earlier owner may have ended them without notifying this VM.
   */
  public void invalidateLiveStatuses(Predicate<ProgramId> filter) {
    programs
        .entrySet()
        .removeIf(
            entry -> entry.getValue().status == ProgramStatus.LIVE && filter.test(entry.getKey()));
  }

  /**
   * Discards the status of programs that no engine holds. The status of ended programs is discarded
   * only after the retention period.
   */
  public void expireStatuses(long nowMs) {
    Set<ProgramId> cached = cachedPrograms();
    programs
        .entrySet()
        .removeIf(entry -> !cached.contains(entry.getKey()) && isExpired(entry.getValue(), nowMs));
  }

  /** Returns the number of programs that the engine is assumed to hold, for metrics. */
  public int cachedProgramCount(EndpointId endpoint) {
    EngineCacheState engineState = engineStates.get(endpoint);
    return engineState == null ? 0 : engineState.programs().size();
  }

  private boolean isExpired(StatusEntry entry, long nowMs) {
    return entry.status != ProgramStatus.ENDED
        || nowMs - entry.statusAtMs >= settings.endedRetentionMs();
  }

  private boolean needsStatusQuery(StatusEntry entry, long nowMs) {
    boolean live = entry.status == ProgramStatus.LIVE;
    return entry.status == null
        || (live && nowMs - entry.statusAtMs >= settings.liveStatusMaxAgeMs());
  }

  private boolean isEnded(ProgramId program) {
    StatusEntry entry = programs.get(program);
    return entry != null && entry.status == ProgramStatus.ENDED;
  }

  private Set<ProgramId> cachedPrograms() {
    Set<ProgramId> cached = new LinkedHashSet<>();
    engineStates.values().forEach(engineState -> cached.addAll(engineState.programs()));
    return cached;
  }

  private EngineCacheState engineState(EndpointId endpoint) {
    return engineStates.computeIfAbsent(endpoint, id -> new EngineCacheState());
  }
}
