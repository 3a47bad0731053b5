package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import java.util.HexFormat;
import java.util.random.RandomGenerator;

/** Generates program ids of 128 random bits, optionally in a given partition. */
public final class ProgramIdGenerator {

  private static final int ID_BYTES = 16;
  private static final ProgramId PLACEHOLDER = new ProgramId("none");

  private final RandomGenerator random;
  private final int partitionCount;

  /**
   * Creates a generator.
   *
   * @param random a cryptographically strong random generator
   * @param partitionCount the number of partitions
   */
  public ProgramIdGenerator(RandomGenerator random, int partitionCount) {
    this.random = random;
    this.partitionCount = partitionCount;
  }

  /** Returns the placeholder id for requests that do not refer to a program. */
  ProgramId placeholder() {
    return PLACEHOLDER;
  }

  ProgramId newId() {
    byte[] bytes = new byte[ID_BYTES];
    random.nextBytes(bytes);
    return new ProgramId(HexFormat.of().formatHex(bytes));
  }

  /** Returns a new id in the partition of the parent; a program tree is kept in one partition. */
  ProgramId newIdForParent(ProgramId parent) {
    return newIdInPartition(parent.partition(partitionCount));
  }

  /**
   * Returns a new id in the partition that the team and the idempotency key determine. A repeated
   * start is therefore routed to the partition of the first program with this key.
   */
  ProgramId newIdForClientKey(TeamId team, String key) {
    long hash = Hashing.fnv1a64(team.value() + "/" + key);
    return newIdInPartition(Math.floorMod(hash, partitionCount));
  }

  private ProgramId newIdInPartition(int partition) {
    ProgramId id = newId();
    while (id.partition(partitionCount) != partition) {
      id = newId();
    }
    return id;
  }
}
