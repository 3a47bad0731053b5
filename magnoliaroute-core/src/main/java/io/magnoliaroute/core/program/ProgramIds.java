package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.ProgramId;
import java.util.function.Supplier;

/** Generates program ids. */
public final class ProgramIds {

  private ProgramIds() {}

  /**
   * Returns a random id that maps to the given partition.
   *
   * <p>A sub-agent is placed in its parent's partition, so that a single stream determines whether
   * the parent ended before the sub-agent started.
   *
   * @param generator generates ids of 128 random bits; called {@code partitionCount} times on
   *     average
   */
  public static ProgramId inPartition(
      Supplier<ProgramId> generator, int partition, int partitionCount) {
    if (partition < 0 || partition >= partitionCount) {
      throw new IllegalArgumentException(
          "partition must be from 0 to " + (partitionCount - 1) + ", was " + partition);
    }
    ProgramId id = generator.get();
    while (id.partition(partitionCount) != partition) {
      id = generator.get();
    }
    return id;
  }
}
