package io.magnoliaroute.core.model;

/** Identifies a pool of interchangeable endpoints. */
public record PoolId(String value) implements Comparable<PoolId> {

  /** Rejects a value that is empty, too long or has characters outside {@code [A-Za-z0-9._-]}. */
  public PoolId {
    Identifiers.requireName("pool", value);
  }

  @Override
  public int compareTo(PoolId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
