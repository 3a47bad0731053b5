package io.magnoliaroute.core.model;

/**
 * Identifies one program. The value contains 128 random bits in hexadecimal, so that a team cannot
 * guess the program ids of another team.
 */
public record ProgramId(String value) implements Comparable<ProgramId> {

  /** Rejects a value that is empty, too long or has characters outside {@code [A-Za-z0-9._-]}. */
  public ProgramId {
    Identifiers.requireName("program id", value);
  }

  /** Returns the partition of this program, in {@code [0, partitionCount)}. */
  public int partition(int partitionCount) {
    if (partitionCount < 1) {
      throw new IllegalArgumentException("partitionCount must be positive, was " + partitionCount);
    }
    return Math.floorMod(Hashing.fnv1a64(value), partitionCount);
  }

  @Override
  public int compareTo(ProgramId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
