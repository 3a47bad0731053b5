package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.ProgramId;
import java.util.function.Supplier;

/** Chooses program ids. */
public final class ProgramIds {

  private ProgramIds() {}

  /**
   * Returns an id of the partition, drawn until one fits. A sub-agent gets the partition of its
   * parent, so that one stream decides whether the parent has ended before the sub-agent starts.
   *
   * @param random gives ids of 128 random bits; about {@code partitionCount} are drawn
   */
  public static ProgramId inPartition(
      Supplier<ProgramId> random, int partition, int partitionCount) {
    if (partition < 0 || partition >= partitionCount) {
      throw new IllegalArgumentException(
          "partition must be from 0 to " + (partitionCount - 1) + ", was " + partition);
    }
    ProgramId id = random.get();
    while (id.partition(partitionCount) != partition) {
      id = random.get();
    }
    return id;
  }
}
