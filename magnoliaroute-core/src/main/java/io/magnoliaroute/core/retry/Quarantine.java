package io.magnoliaroute.core.retry;

import io.magnoliaroute.core.model.EndpointId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Refuses requests that repeatedly crash the endpoints they run on.
 *
 * <p>A request is suspected after its first crash and quarantined, that is, refused for a limited
 * time, once it has crashed {@link QuarantineSettings#maxEndpoints()} endpoints. A successful
 * response does not clear the suspicion by itself, because some requests crash an endpoint only
 * intermittently; the suspicion expires instead, or the caller clears it. Callers should not place
 * two suspected requests on the same endpoint, because a crash caused by one of them could be
 * attributed to the other. The {@code RequestQuarantined} record in the {@code control} stream
 * informs other VMs. Not thread-safe; the caller must guard it with a lock.
 */
public final class Quarantine {

  private final QuarantineSettings settings;
  private final Map<Fingerprint, SuspectedRequest> suspects = new LinkedHashMap<>();
  private final Map<Fingerprint, Long> quarantinedUntilMs = new LinkedHashMap<>();

  /** Reports of one crash by several VMs arrive within this time, before the next start. */
  static final long MIN_RESTART_MS = 1_500;

  private static final class SuspectedRequest {
    private final Map<EndpointId, Long> crashedAtMs = new HashMap<>();
    private int crashes;
    private long lastCrashMs;
  }

  /**
   * The content of a {@code RequestQuarantined} record to append.
   *
   * @param fingerprint the fingerprint of the request
   * @param untilMs the time at which the quarantine ends
   */
  public record QuarantineEntry(Fingerprint fingerprint, long untilMs) {}

  /** Creates an empty quarantine. */
  public Quarantine(QuarantineSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Returns whether the request must be refused without being run. */
  public boolean isQuarantined(Fingerprint fingerprint, long nowMs) {
    Long untilMs = quarantinedUntilMs.get(fingerprint);
    return untilMs != null && nowMs < untilMs;
  }

  /** Returns the endpoints that the request has crashed and must not be sent to again. */
  public Set<EndpointId> crashedEndpoints(Fingerprint fingerprint, long nowMs) {
    SuspectedRequest suspect = suspects.get(fingerprint);
    if (suspect == null || isExpired(suspect, nowMs)) {
      return Set.of();
    }
    return Set.copyOf(suspect.crashedAtMs.keySet());
  }

  /** Returns whether the request has recently crashed an endpoint; such requests are not hedged. */
  public boolean isSuspected(Fingerprint fingerprint, long nowMs) {
    return !crashedEndpoints(fingerprint, nowMs).isEmpty();
  }

  /**
   * Records that an endpoint crashed while it ran the request; an endpoint that has started again
   * since counts once more. Returns the record to append if the request has now crashed the maximum
   * number of endpoints.
   */
  public Optional<QuarantineEntry> recordCrash(
      Fingerprint fingerprint, EndpointId endpoint, long nowMs) {
    SuspectedRequest suspect = suspects.remove(fingerprint);
    if (suspect == null || isExpired(suspect, nowMs)) {
      suspect = new SuspectedRequest();
    }
    Long previousMs = suspect.crashedAtMs.put(endpoint, nowMs);
    if (previousMs == null || nowMs - previousMs >= MIN_RESTART_MS) {
      suspect.crashes++;
    }
    suspect.lastCrashMs = nowMs;
    if (suspect.crashes < settings.maxEndpoints()) {
      suspects.put(fingerprint, suspect);
      evictOldest(suspects);
      return Optional.empty();
    }
    long untilMs = nowMs + settings.quarantineMs();
    applyQuarantined(fingerprint, untilMs);
    return Optional.of(new QuarantineEntry(fingerprint, untilMs));
  }

  /**
   * Applies a record of the {@code control} stream. The latest end time takes effect, regardless of
   * the order in which records are applied.
   */
  public void applyQuarantined(Fingerprint fingerprint, long untilMs) {
    Long known = quarantinedUntilMs.remove(fingerprint);
    quarantinedUntilMs.put(fingerprint, known == null ? untilMs : Math.max(known, untilMs));
    suspects.remove(fingerprint);
    evictOldest(quarantinedUntilMs);
  }

  /** Clears the suspicion against a request; a quarantine stays in force. */
  public void clearSuspicion(Fingerprint fingerprint) {
    suspects.remove(fingerprint);
  }

  /** Returns the suspected requests, each with the endpoints that it has crashed. */
  public Map<Fingerprint, Set<EndpointId>> suspectedRequests(long nowMs) {
    Map<Fingerprint, Set<EndpointId>> result = new LinkedHashMap<>();
    suspects.forEach(
        (fingerprint, suspect) -> {
          if (!isExpired(suspect, nowMs)) {
            result.put(fingerprint, Set.copyOf(suspect.crashedAtMs.keySet()));
          }
        });
    return result;
  }

  /** Removes expired quarantines and suspicions. */
  public void removeExpired(long nowMs) {
    quarantinedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    suspects.values().removeIf(suspect -> isExpired(suspect, nowMs));
  }

  /** Returns the quarantined requests with their end times, for snapshots and status pages. */
  public Map<Fingerprint, Long> quarantinedRequests(long nowMs) {
    Map<Fingerprint, Long> result = new LinkedHashMap<>(quarantinedUntilMs);
    result.values().removeIf(untilMs -> untilMs <= nowMs);
    return result;
  }

  private boolean isExpired(SuspectedRequest suspect, long nowMs) {
    return nowMs - suspect.lastCrashMs >= settings.suspicionMs();
  }

  private <V> void evictOldest(Map<Fingerprint, V> entries) {
    if (entries.size() > settings.maxEntries()) {
      entries.remove(entries.keySet().iterator().next());
    }
  }
}
