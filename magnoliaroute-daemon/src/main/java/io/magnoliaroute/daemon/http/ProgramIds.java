package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import java.util.HexFormat;
import java.util.random.RandomGenerator;

/** Makes program ids of 128 random bits that fall into a wanted partition. */
public final class ProgramIds {

  private static final int ID_BYTES = 16;
  private static final ProgramId NONE = new ProgramId("none");

  private final RandomGenerator random;
  private final int partitions;

  /** Makes ids for the number of partitions; the generator must be cryptographically strong. */
  public ProgramIds(RandomGenerator random, int partitions) {
    this.random = random;
    this.partitions = partitions;
  }

  /** Returns an id for requests that are about no program. */
  ProgramId none() {
    return NONE;
  }

  ProgramId fresh() {
    byte[] drawn = new byte[ID_BYTES];
    random.nextBytes(drawn);
    return new ProgramId(HexFormat.of().formatHex(drawn));
  }

  /** Returns an id in the parent's partition, because a program tree lives in one partition. */
  ProgramId withParent(ProgramId parent) {
    return inPartition(parent.partition(partitions));
  }

  /** Returns an id in the partition of the key, where a second start finds the first program. */
  ProgramId withClientKey(TeamId team, String key) {
    long hash = Hashing.fnv1a64(team.value() + "/" + key);
    return inPartition(Math.floorMod(hash, partitions));
  }

  private ProgramId inPartition(int partition) {
    ProgramId drawn = fresh();
    while (drawn.partition(partitions) != partition) {
      drawn = fresh();
    }
    return drawn;
  }
}
