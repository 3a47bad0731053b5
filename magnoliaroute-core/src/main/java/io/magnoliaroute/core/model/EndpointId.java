package io.magnoliaroute.core.model;

/** Identifies one model engine or plain service instance. */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /** Rejects a value that is empty, too long or has characters outside {@code [A-Za-z0-9._-]}. */
  public EndpointId {
    Identifiers.requireName("endpoint", value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
