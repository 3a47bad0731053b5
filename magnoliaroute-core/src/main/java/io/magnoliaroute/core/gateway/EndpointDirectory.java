package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * This VM's view of the registered endpoints.
 *
 * <p>Older entries never replace newer ones. An entry that expired during an outage of the store
 * may stay usable for some time, because a running endpoint needs a while to register again. Not
 * thread-safe; confined to one event loop.
 */
public final class EndpointDirectory {

  /**
   * How long removed endpoints serve as a fallback when their service has no other. Well below the
   * time after which a removed endpoint must not receive requests.
   */
  static final long FALLBACK_GRACE_MS = 1_200;

  /** Maximum number of tombstones; covers several days of endpoint replacements. */
  private static final int MAX_TOMBSTONES = 16_384;

  private final Map<EndpointId, EndpointState> endpoints = new HashMap<>();
  private final Map<EndpointId, EndpointTombstone> tombstones =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, EndpointTombstone> eldest) {
          return size() > MAX_TOMBSTONES;
        }
      };
  private long revision;

  private static final class EndpointState {
    private EndpointEntry entry;
    private boolean removed;
    private long usableUntilMs = Long.MAX_VALUE;
    private long fallbackUntilMs;
  }

  /** Returns a revision that changes whenever the set of usable endpoints may have changed. */
  public long revision() {
    return revision;
  }

  /** Applies an entry and returns whether it changed this VM's view. */
  public boolean apply(EndpointEntry entry) {
    EndpointTombstone tombstone = tombstones.get(entry.id());
    if (tombstone != null
        && tombstone.invalidates(entry)
        && tombstone.sequence() != EndpointTombstone.ALL_ENTRIES) {
      return false;
    }
    EndpointState state = endpoints.computeIfAbsent(entry.id(), id -> new EndpointState());
    if (state.entry != null && !entry.isNewerThan(state.entry)) {
      return false;
    }
    boolean changed =
        state.entry == null
            || state.removed
            || state.usableUntilMs != Long.MAX_VALUE
            || differs(state.entry, entry);
    state.entry = entry;
    state.removed = false;
    state.usableUntilMs = Long.MAX_VALUE;
    revision += changed ? 1 : 0;
    return changed;
  }

  /**
   * Applies the removal of an entry and returns whether it changed this VM's view.
   *
   * @param usableUntilMs until when the endpoint stays usable because the entry may have expired
   *     only because the store was unavailable; a time in the past if it cannot have
   */
  public boolean remove(EndpointId id, long usableUntilMs, long nowMs) {
    EndpointState state = endpoints.get(id);
    if (state == null || state.removed) {
      return false;
    }
    state.removed = true;
    state.usableUntilMs = isDrainingOrTombstoned(state) ? Long.MIN_VALUE : usableUntilMs;
    state.fallbackUntilMs = nowMs + FALLBACK_GRACE_MS;
    revision++;
    return true;
  }

  /**
   * Removes the endpoint without a grace period because another endpoint responds at the address of
   * this entry. A newer entry makes the endpoint usable again.
   */
  public void removeDisplaced(EndpointEntry entry) {
    EndpointState state = endpoints.get(entry.id());
    if (state != null && !state.entry.isNewerThan(entry)) {
      state.removed = true;
      state.usableUntilMs = Long.MIN_VALUE;
      revision++;
    }
  }

  /**
   * Applies the tombstone of an endpoint start and returns whether it changed this VM's view. The
   * tombstone may arrive before the first entry of the endpoint.
   */
  public boolean applyTombstone(EndpointTombstone tombstone) {
    EndpointTombstone existing = tombstones.get(tombstone.id());
    if (existing != null && !tombstone.supersedes(existing)) {
      return false;
    }
    tombstones.put(tombstone.id(), tombstone);
    EndpointState state = endpoints.get(tombstone.id());
    if (state != null
        && tombstone.sequence() != EndpointTombstone.ALL_ENTRIES
        && tombstone.invalidates(state.entry)) {
      state.removed = true;
      state.usableUntilMs = Long.MIN_VALUE;
      state.fallbackUntilMs = Long.MIN_VALUE;
    }
    revision++;
    return true;
  }

  /**
   * Returns the tombstones of all endpoints that this VM knows to have shut down or been removed,
   * to be sent to VMs that are starting.
   */
  public List<EndpointTombstone> tombstones(long nowMs) {
    Map<EndpointId, EndpointTombstone> all = new HashMap<>(tombstones);
    for (EndpointState state : endpoints.values()) {
      if (state.removed && nowMs >= state.usableUntilMs) {
        EndpointEntry entry = state.entry;
        EndpointTombstone removed =
            new EndpointTombstone(entry.id(), entry.startedAtMs(), entry.sequence());
        all.merge(entry.id(), removed, (a, b) -> b.supersedes(a) ? b : a);
      }
    }
    return List.copyOf(all.values());
  }

  /**
   * Applies a complete listing; entries that are missing from it are removed.
   *
   * @param usableUntilMs until when the endpoints of removed entries stay usable, see {@link
   *     #remove}
   */
  public void applyListing(Collection<EndpointEntry> listing, long usableUntilMs, long nowMs) {
    Set<EndpointId> listed = new HashSet<>();
    for (EndpointEntry entry : listing) {
      listed.add(entry.id());
      apply(entry);
    }
    for (EndpointId id : List.copyOf(endpoints.keySet())) {
      if (!listed.contains(id)) {
        remove(id, usableUntilMs, nowMs);
      }
    }
  }

  /**
   * Returns the endpoints of a service that may receive new requests. If all entries of a service
   * were removed recently, their endpoints stay usable for {@link #FALLBACK_GRACE_MS}, because it
   * is unlikely that all endpoints of a service shut down at the same time.
   */
  public List<EndpointEntry> usableEndpoints(String service, long nowMs) {
    List<EndpointEntry> result = new ArrayList<>();
    List<EndpointEntry> fallback = new ArrayList<>();
    for (EndpointState state : endpoints.values()) {
      if (!state.entry.service().equals(service)) {
        continue;
      }
      if (isUsable(state, nowMs)) {
        result.add(state.entry);
      } else if (isFallback(state, nowMs)) {
        fallback.add(state.entry);
      }
    }
    return result.isEmpty() ? fallback : result;
  }

  /** Returns whether this start of the endpoint may receive new requests. */
  public boolean isUsable(EndpointEntry entry, long nowMs) {
    EndpointState state = endpoints.get(entry.id());
    return state != null && state.entry.isSameStart(entry) && isUsable(state, nowMs);
  }

  /**
   * Returns whether a request may still be sent to this start of the endpoint, including when it is
   * used only as a fallback because all endpoints of its service were removed.
   */
  public boolean maySendTo(EndpointEntry entry, long nowMs) {
    EndpointState state = endpoints.get(entry.id());
    return state != null
        && state.entry.isSameStart(entry)
        && (isUsable(state, nowMs) || isFallback(state, nowMs));
  }

  /** Returns the newest entry of an endpoint that has not been removed. */
  public Optional<EndpointEntry> find(EndpointId id) {
    EndpointState state = endpoints.get(id);
    return state == null || state.removed ? Optional.empty() : Optional.of(state.entry);
  }

  /** Returns all entries that have not been removed. */
  public List<EndpointEntry> entries() {
    List<EndpointEntry> result = new ArrayList<>();
    for (EndpointState state : endpoints.values()) {
      if (!state.removed) {
        result.add(state.entry);
      }
    }
    return result;
  }

  private boolean isUsable(EndpointState state, long nowMs) {
    return !isDrainingOrTombstoned(state) && (!state.removed || nowMs < state.usableUntilMs);
  }

  private boolean isFallback(EndpointState state, long nowMs) {
    return state.removed && !isDrainingOrTombstoned(state) && nowMs < state.fallbackUntilMs;
  }

  private boolean isDrainingOrTombstoned(EndpointState state) {
    EndpointTombstone tombstone = tombstones.get(state.entry.id());
    return state.entry.draining() || (tombstone != null && tombstone.invalidates(state.entry));
  }

  private static boolean differs(EndpointEntry before, EndpointEntry after) {
    return before.startedAtMs() != after.startedAtMs()
        || before.draining() != after.draining()
        || before.slots() != after.slots()
        || !before.service().equals(after.service())
        || !before.softwareVersion().equals(after.softwareVersion())
        || !before.address().equals(after.address());
  }
}
