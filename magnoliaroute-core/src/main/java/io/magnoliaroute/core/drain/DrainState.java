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
 * The endpoints that get no new work, from four sources.
 *
 * <p>An endpoint drains from the earliest word of any source until no source names it. Each source
 * is applied in its own order (settings version, log offset, list version); what is not newer is
 * ignored, so that repeated and late input changes nothing. Not safe for use by several threads.
 */
public final class DrainState {

  private final long refusalHoldMs;
  private final Map<EndpointId, Map<DrainSource, Long>> sinceMs = new HashMap<>();
  private final Map<EndpointId, Long> lastRefusalMs = new HashMap<>();
  private final Map<EndpointId, Long> controlOffsets = new HashMap<>();
  private final Set<EndpointId> reported = new TreeSet<>();
  private long settingsVersion = Long.MIN_VALUE;
  private long listVersion = Long.MIN_VALUE;

  /**
   * Makes a state without drains.
   *
   * @param refusalHoldMs time without a further refusal after which an endpoint that refused is
   *     tried again
   */
  public DrainState(long refusalHoldMs) {
    if (refusalHoldMs < 1) {
      throw new IllegalArgumentException("refusalHoldMs must be positive, was " + refusalHoldMs);
    }
    this.refusalHoldMs = refusalHoldMs;
  }

  /** Applies the endpoints that the settings of a version drain. */
  public void applySettings(long version, Set<EndpointId> draining, long nowMs) {
    if (version <= settingsVersion) {
      return;
    }
    settingsVersion = version;
    replace(DrainSource.SETTINGS, draining, nowMs);
  }

  /**
   * Applies the endpoints that the platform's list of a version names. An endpoint that the list
   * does not name keeps its mark, as lists may be incomplete.
   */
  public void applyPlatformList(
      long version, Set<EndpointId> leaving, Set<EndpointId> staying, long nowMs) {
    if (version <= listVersion) {
      return;
    }
    listVersion = version;
    staying.forEach(endpoint -> clear(endpoint, DrainSource.PLATFORM));
    leaving.forEach(endpoint -> mark(endpoint, DrainSource.PLATFORM, nowMs));
  }

  /** Applies an {@code EndpointDraining} record. */
  public void applyDraining(long offset, EndpointId endpoint, long nowMs) {
    if (isNewControl(offset, endpoint)) {
      mark(endpoint, DrainSource.CONTROL, nowMs);
    }
  }

  /**
   * Applies an {@code EndpointResumed} record. An operator's word also ends a drain by refusals,
   * but not one by settings or by the platform, which would come back with their next version.
   */
  public void applyResumed(long offset, EndpointId endpoint) {
    if (isNewControl(offset, endpoint)) {
      clear(endpoint, DrainSource.CONTROL);
      clear(endpoint, DrainSource.REFUSALS);
    }
  }

  /** Notes that the endpoint refused a call because it is leaving. */
  public void refused(EndpointId endpoint, long nowMs) {
    mark(endpoint, DrainSource.REFUSALS, nowMs);
    lastRefusalMs.merge(endpoint, nowMs, Math::max);
  }

  /**
   * Notes that the endpoint accepted a call. It ends a drain by refusals only if the call was sent
   * after the last refusal.
   */
  public void accepted(EndpointId endpoint, long sentAtMs) {
    Long refusedAtMs = lastRefusalMs.get(endpoint);
    if (refusedAtMs != null && sentAtMs > refusedAtMs) {
      clear(endpoint, DrainSource.REFUSALS);
    }
  }

  /** Returns whether the endpoint must get no new work. */
  public boolean isDraining(EndpointId endpoint) {
    return sinceMs.containsKey(endpoint);
  }

  /** Returns the drain of an endpoint, or nothing if it may get new work. */
  public Optional<EndpointDrain> drain(EndpointId endpoint) {
    Map<DrainSource, Long> sources = sinceMs.get(endpoint);
    if (sources == null) {
      return Optional.empty();
    }
    long earliestMs = sources.values().stream().mapToLong(Long::longValue).min().orElseThrow();
    return Optional.of(new EndpointDrain(endpoint, earliestMs, sources.keySet()));
  }

  /** Ends the drains that ran out and returns what has changed since the last call. */
  public List<DrainChange> poll(long nowMs) {
    for (EndpointId endpoint : new ArrayList<>(lastRefusalMs.keySet())) {
      if (nowMs - lastRefusalMs.get(endpoint) >= refusalHoldMs) {
        clear(endpoint, DrainSource.REFUSALS);
      }
    }
    List<DrainChange> changes = new ArrayList<>();
    for (EndpointId endpoint : new TreeSet<>(sinceMs.keySet())) {
      if (reported.add(endpoint)) {
        changes.add(new DrainChange(endpoint, true));
      }
    }
    for (EndpointId endpoint : new ArrayList<>(reported)) {
      if (!isDraining(endpoint)) {
        reported.remove(endpoint);
        changes.add(new DrainChange(endpoint, false));
      }
    }
    return changes;
  }

  private void replace(DrainSource source, Set<EndpointId> draining, long nowMs) {
    for (EndpointId endpoint : new ArrayList<>(sinceMs.keySet())) {
      if (!draining.contains(endpoint)) {
        clear(endpoint, source);
      }
    }
    draining.forEach(endpoint -> mark(endpoint, source, nowMs));
  }

  private boolean isNewControl(long offset, EndpointId endpoint) {
    Long applied = controlOffsets.get(endpoint);
    if (applied != null && offset <= applied) {
      return false;
    }
    controlOffsets.put(endpoint, offset);
    return true;
  }

  private void mark(EndpointId endpoint, DrainSource source, long nowMs) {
    sinceMs
        .computeIfAbsent(endpoint, id -> new EnumMap<>(DrainSource.class))
        .putIfAbsent(source, nowMs);
  }

  private void clear(EndpointId endpoint, DrainSource source) {
    if (source == DrainSource.REFUSALS) {
      lastRefusalMs.remove(endpoint);
    }
    Map<DrainSource, Long> sources = sinceMs.get(endpoint);
    if (sources == null) {
      return;
    }
    sources.remove(source);
    if (sources.isEmpty()) {
      sinceMs.remove(endpoint);
    }
  }
}
