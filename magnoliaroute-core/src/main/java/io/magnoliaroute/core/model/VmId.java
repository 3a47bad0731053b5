package io.magnoliaroute.core.model;

/** Identifies one entry VM. */
public record VmId(String value) implements Comparable<VmId> {

  /** Rejects a value that is empty, too long or has characters outside {@code [A-Za-z0-9._-]}. */
  public VmId {
    Identifiers.requireName("vm id", value);
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
