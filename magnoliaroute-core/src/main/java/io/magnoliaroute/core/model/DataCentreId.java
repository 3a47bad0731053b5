package io.magnoliaroute.core.model;

/** Identifies a data centre. */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

  /** Rejects a value that is empty, too long or has characters outside {@code [A-Za-z0-9._-]}. */
  public DataCentreId {
    Identifiers.requireName("data centre", value);
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
