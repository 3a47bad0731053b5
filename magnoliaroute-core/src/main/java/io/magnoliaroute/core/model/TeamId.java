package io.magnoliaroute.core.model;

/** Identifies a team, the tenant that owns programs and budgets. */
public record TeamId(String value) implements Comparable<TeamId> {

  /** Rejects a value that is empty, too long or has characters outside {@code [A-Za-z0-9._-]}. */
  public TeamId {
    Identifiers.requireName("team", value);
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
