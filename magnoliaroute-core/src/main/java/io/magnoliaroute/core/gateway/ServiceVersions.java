package io.magnoliaroute.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks which software versions may have begun the streams that are under way.
 *
 * <p>A version counts until no stream can be left that it began, also after its last endpoint has
 * been removed. Since VMs lose their memory, the versions are stored too. Not thread-safe; confined
 * to one event loop.
 */
public final class ServiceVersions {

  /** Upper bound of the time for which a stream lasts, including all attempts to resume it. */
  public static final long STREAM_LIFETIME_MS = 20_000;

  /**
   * Time after which all VMs that reach the store know a new version. Until then, new streams
   * prefer other versions: a VM that knows only the old version would resume them there.
   */
  static final long SETTLING_MS = 2_000;

  private final Map<ServiceVersion, Sighting> sightings = new HashMap<>();
  private boolean storedVersionsKnown;
  private boolean entriesKnown;

  private static final class Sighting {
    private final long firstMs;
    private long lastMs;
    private boolean stored;

    private Sighting(long firstMs, long lastMs) {
      this.firstMs = firstMs;
      this.lastMs = lastMs;
    }
  }

  /**
   * Records the versions of the registered endpoints.
   *
   * @return the services that have got a new version
   */
  public Set<String> observe(Collection<EndpointEntry> entries, long nowMs) {
    Set<String> changed = new HashSet<>();
    for (EndpointEntry entry : entries) {
      ServiceVersion version = new ServiceVersion(entry.service(), entry.softwareVersion());
      Sighting sighting = sightings.get(version);
      if (sighting == null) {
        // What a VM finds when it starts is not new to the others.
        long firstMs = entriesKnown ? nowMs : Long.MIN_VALUE / 2;
        sightings.put(version, new Sighting(firstMs, nowMs));
        changed.add(entry.service());
      } else {
        sighting.lastMs = nowMs;
      }
    }
    entriesKnown |= !entries.isEmpty();
    return changed;
  }

  /** Records that versions may be stored that this VM has not read, until they are applied. */
  public void invalidateStored() {
    storedVersionsKnown = false;
  }

  /** Applies the complete list of stored versions, which other VMs may have seen long ago. */
  public void applyStored(Collection<ServiceVersion> stored, long nowMs) {
    for (ServiceVersion version : stored) {
      sightings.computeIfAbsent(version, key -> new Sighting(Long.MIN_VALUE / 2, nowMs)).stored =
          true;
    }
    storedVersionsKnown = true;
  }

  /** Returns the versions that are not stored yet. */
  public List<ServiceVersion> unstored() {
    List<ServiceVersion> unstored = new ArrayList<>();
    sightings.forEach(
        (version, sighting) -> {
          if (!sighting.stored) {
            unstored.add(version);
          }
        });
    return unstored;
  }

  /** Records that a version is stored. */
  public void markStored(ServiceVersion version) {
    Sighting sighting = sightings.get(version);
    if (sighting != null) {
      sighting.stored = true;
    }
  }

  /** Removes and returns the versions that began none of the streams under way. */
  public List<ServiceVersion> removeExpired(long nowMs) {
    List<ServiceVersion> expired = new ArrayList<>();
    sightings
        .entrySet()
        .removeIf(
            entry -> {
              boolean isExpired = nowMs - entry.getValue().lastMs >= STREAM_LIFETIME_MS;
              if (isExpired) {
                expired.add(entry.getKey());
              }
              return isExpired;
            });
    return expired;
  }

  /**
   * Returns the version that began every stream of the service that is under way; empty if it may
   * have been one of several, or if the stored versions are not known yet.
   */
  public Optional<String> onlyVersion(String service) {
    if (!storedVersionsKnown) {
      return Optional.empty();
    }
    String only = null;
    for (ServiceVersion version : sightings.keySet()) {
      if (version.service().equals(service)) {
        if (only != null) {
          return Optional.empty();
        }
        only = version.softwareVersion();
      }
    }
    return Optional.ofNullable(only);
  }

  /** Returns whether all VMs that reach the store know the version of the endpoint. */
  public boolean isSettled(EndpointEntry entry, long nowMs) {
    Sighting sighting = sightings.get(new ServiceVersion(entry.service(), entry.softwareVersion()));
    return sighting != null && nowMs - sighting.firstMs >= SETTLING_MS;
  }
}
