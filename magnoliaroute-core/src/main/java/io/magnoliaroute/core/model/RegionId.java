package io.magnoliaroute.core.model;

/** Identifies a region, a set of data centres with low latency between them. */
public record RegionId(String value) implements Comparable<RegionId> {

  /** Rejects a value that is empty, too long or has characters outside {@code [A-Za-z0-9._-]}. */
  public RegionId {
    Identifiers.requireName("region", value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
