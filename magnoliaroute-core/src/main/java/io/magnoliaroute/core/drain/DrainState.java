package io.magnoliaroute.core.drain;

import io.magnoliaroute.core.model.EndpointId;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks the endpoints that must not receive new work, as requested by four sources.
 *
 * <p>An endpoint drains from the time at which the first source requests it until no source does.
 * Input from the settings, the control stream and the platform is ordered by settings version, log
 * offset and list version respectively. Input that is not newer than what has been applied is
 * ignored, so applying it is idempotent and late input has no effect. Not thread-safe.
 */
public final class DrainState {

  private final long refusalExpiryMs;
  private final Map<EndpointId, Map<DrainSource, Long>> drainingSinceMs = new HashMap<>();
  private final Map<EndpointId, Long> lastRefusalMs = new HashMap<>();
  private final Map<EndpointId, Long> controlOffsets = new HashMap<>();
  private final Set<EndpointId> reportedDraining = new TreeSet<>();
  private long settingsVersion = Long.MIN_VALUE;
  private long platformListVersion = Long.MIN_VALUE;

  /**
   * Creates a state without drains.
   *
   * @param refusalExpiryMs the time without further refusals after which a drain by refusals ends
   */
  public DrainState(long refusalExpiryMs) {
    if (refusalExpiryMs < 1) {
      throw new IllegalArgumentException(
          "refusalExpiryMs must be positive, was " + refusalExpiryMs);
    }
    this.refusalExpiryMs = refusalExpiryMs;
  }

  /** Applies a version of the settings, with the endpoints that it drains. */
  public void applySettings(long version, Set<EndpointId> draining, long nowMs) {
    if (version <= settingsVersion) {
      return;
    }
    settingsVersion = version;
    replaceSource(DrainSource.SETTINGS, draining, nowMs);
  }

  /**
   * Applies a version of the platform's endpoint list. An endpoint that the list does not contain
   * stays unchanged, because lists may be incomplete.
   */
  public void applyPlatformList(
      long version, Set<EndpointId> leaving, Set<EndpointId> staying, long nowMs) {
    if (version <= platformListVersion) {
      return;
    }
    platformListVersion = version;
    staying.forEach(endpoint -> removeSource(endpoint, DrainSource.PLATFORM));
    leaving.forEach(endpoint -> addSource(endpoint, DrainSource.PLATFORM, nowMs));
  }

  /** Applies an {@code EndpointDraining} record. */
  public void applyDraining(long offset, EndpointId endpoint, long nowMs) {
    if (advanceControlOffset(offset, endpoint)) {
      addSource(endpoint, DrainSource.CONTROL, nowMs);
    }
  }

  /**
   * Applies an {@code EndpointResumed} record. It also ends a drain by refusals, but not a drain by
   * the settings or the platform, which their next version would start again.
   */
  public void applyResumed(long offset, EndpointId endpoint) {
    if (advanceControlOffset(offset, endpoint)) {
      removeSource(endpoint, DrainSource.CONTROL);
      removeSource(endpoint, DrainSource.REFUSALS);
    }
  }

  /** Records that the endpoint refused a call because it is shutting down. */
  public void recordRefusal(EndpointId endpoint, long nowMs) {
    addSource(endpoint, DrainSource.REFUSALS, nowMs);
    lastRefusalMs.merge(endpoint, nowMs, Math::max);
  }

  /**
   * Records that the endpoint accepted a call. This ends a drain by refusals only if the call was
   * sent after the last refusal.
   */
  public void recordAcceptance(EndpointId endpoint, long sentAtMs) {
    Long refusedAtMs = lastRefusalMs.get(endpoint);
    if (refusedAtMs != null && sentAtMs > refusedAtMs) {
      removeSource(endpoint, DrainSource.REFUSALS);
    }
  }

  /** Returns whether the endpoint must not receive new work. */
  public boolean isDraining(EndpointId endpoint) {
    return drainingSinceMs.containsKey(endpoint);
  }

  /** Returns the drain of the endpoint, or empty if it may receive new work. */
  public Optional<EndpointDrain> findDrain(EndpointId endpoint) {
    Map<DrainSource, Long> sources = drainingSinceMs.get(endpoint);
    if (sources == null) {
      return Optional.empty();
    }
    long earliestMs = sources.values().stream().mapToLong(Long::longValue).min().orElseThrow();
    return Optional.of(new EndpointDrain(endpoint, earliestMs, sources.keySet()));
  }

  /** Ends expired drains by refusals and returns the changes since the last call. */
  public List<DrainChange> poll(long nowMs) {
    for (EndpointId endpoint : new ArrayList<>(lastRefusalMs.keySet())) {
      if (nowMs - lastRefusalMs.get(endpoint) >= refusalExpiryMs) {
        removeSource(endpoint, DrainSource.REFUSALS);
      }
    }
    List<DrainChange> changes = new ArrayList<>();
    for (EndpointId endpoint : new TreeSet<>(drainingSinceMs.keySet())) {
      if (reportedDraining.add(endpoint)) {
        changes.add(new DrainChange(endpoint, true));
      }
    }
    for (EndpointId endpoint : new ArrayList<>(reportedDraining)) {
      if (!isDraining(endpoint)) {
        reportedDraining.remove(endpoint);
        changes.add(new DrainChange(endpoint, false));
      }
    }
    return changes;
  }

  private void replaceSource(DrainSource source, Set<EndpointId> draining, long nowMs) {
    for (EndpointId endpoint : new ArrayList<>(drainingSinceMs.keySet())) {
      if (!draining.contains(endpoint)) {
        removeSource(endpoint, source);
      }
    }
    draining.forEach(endpoint -> addSource(endpoint, source, nowMs));
  }

  private boolean advanceControlOffset(long offset, EndpointId endpoint) {
    Long appliedOffset = controlOffsets.get(endpoint);
    if (appliedOffset != null && offset <= appliedOffset) {
      return false;
    }
    controlOffsets.put(endpoint, offset);
    return true;
  }

  private void addSource(EndpointId endpoint, DrainSource source, long nowMs) {
    drainingSinceMs
        .computeIfAbsent(endpoint, id -> new EnumMap<>(DrainSource.class))
        .putIfAbsent(source, nowMs);
  }

  private void removeSource(EndpointId endpoint, DrainSource source) {
    if (source == DrainSource.REFUSALS) {
      lastRefusalMs.remove(endpoint);
    }
    Map<DrainSource, Long> sources = drainingSinceMs.get(endpoint);
    if (sources == null) {
      return;
    }
    sources.remove(source);
    if (sources.isEmpty()) {
      drainingSinceMs.remove(endpoint);
    }
  }
}
