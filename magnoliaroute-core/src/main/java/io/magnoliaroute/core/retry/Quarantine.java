package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.model.EndpointId;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Refuses requests that crash the endpoints they run on.
 *
 * <p>A request is suspected after its first crash, tried on at most two endpoints, and then refused
 * until a time. An answer does not clear the suspicion, because some requests crash an endpoint
 * only now and then; it ends with time. Callers should not place two suspected requests on one
 * endpoint, or one of them can be blamed for the crash that the other caused. Other VMs learn of it
 * from the {@code RequestQuarantined} record in the {@code control} stream. Not safe for use by
 * several threads; the caller keeps it under one lock.
 */
public final class Quarantine {

  private final QuarantineSettings settings;
  private final Map<Fingerprint, Suspect> suspects = new LinkedHashMap<>();
  private final Map<Fingerprint, Long> refusedUntilMs = new LinkedHashMap<>();

  private static final class Suspect {
    private final Set<EndpointId> crashed = new HashSet<>();
    private long lastCrashMs;
  }

  /**
   * An effect: append a {@code RequestQuarantined} record with these values.
   *
   * @param fingerprint the request
   * @param untilMs the time from which it may run again
   */
  public record QuarantineOrder(Fingerprint fingerprint, long untilMs) {}

  /** Makes an empty quarantine. */
  public Quarantine(QuarantineSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Returns whether the request must be refused as not run. */
  public boolean refused(Fingerprint f, long nowMs) {
    Long untilMs = refusedUntilMs.get(f);
    return untilMs != null && nowMs < untilMs;
  }

  /** Returns the endpoints that the request has crashed; it must not be sent to them again. */
  public Set<EndpointId> crashedEndpoints(Fingerprint f, long nowMs) {
    Suspect suspect = suspects.get(f);
    if (suspect == null || isExpired(suspect, nowMs)) {
      return Set.of();
    }
    return Set.copyOf(suspect.crashed);
  }

  /** Returns whether the request has crashed an endpoint lately; it is then never hedged. */
  public boolean suspected(Fingerprint f, long nowMs) {
    return !crashedEndpoints(f, nowMs).isEmpty();
  }

  /**
   * Records that an endpoint crashed while it ran the request. Returns the record to append when
   * this was the last endpoint that it may be tried on.
   */
  public Optional<QuarantineOrder> crashed(Fingerprint f, EndpointId endpoint, long nowMs) {
    Suspect suspect = suspects.remove(f);
    if (suspect == null || isExpired(suspect, nowMs)) {
      suspect = new Suspect();
    }
    suspect.crashed.add(endpoint);
    suspect.lastCrashMs = nowMs;
    if (suspect.crashed.size() < settings.maxEndpoints()) {
      suspects.put(f, suspect);
      dropOldest(suspects);
      return Optional.empty();
    }
    long untilMs = nowMs + settings.quarantineMs();
    applyQuarantined(f, untilMs);
    return Optional.of(new QuarantineOrder(f, untilMs));
  }

  /** Applies a record of the {@code control} stream. The latest time counts, in any order. */
  public void applyQuarantined(Fingerprint f, long untilMs) {
    Long known = refusedUntilMs.remove(f);
    refusedUntilMs.put(f, known == null ? untilMs : Math.max(known, untilMs));
    suspects.remove(f);
    dropOldest(refusedUntilMs);
  }

  /** Forgets what has expired. */
  public void expire(long nowMs) {
    refusedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    suspects.values().removeIf(suspect -> isExpired(suspect, nowMs));
  }

  /** Returns the requests refused now with their times, for snapshots and status pages. */
  public Map<Fingerprint, Long> refusedRequests(long nowMs) {
    Map<Fingerprint, Long> result = new LinkedHashMap<>(refusedUntilMs);
    result.values().removeIf(untilMs -> untilMs <= nowMs);
    return result;
  }

  private boolean isExpired(Suspect suspect, long nowMs) {
    return nowMs - suspect.lastCrashMs >= settings.suspicionMs();
  }

  private <V> void dropOldest(Map<Fingerprint, V> entries) {
    if (entries.size() > settings.maxEntries()) {
      entries.remove(entries.keySet().iterator().next());
    }
  }
}
