package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.log.CommitLimits;
import io.magnoliaroute.core.log.GroupCommitter;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.HistoryBuffer;
import io.magnoliaroute.core.settings.Limits;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;

/** The hosts of all program partitions on this VM, whether it owns them or not. */
public final class Partitions {

  /**
   * The duration of an owner's lease. Equal to the suspicion timeout of the membership, after which
   * another VM may claim the partition.
   */
  static final long LEASE_MS = 2_000;

  // The log accepts several hundred appends per second from all VMs together. Up to 20 batches per
  // second for each of 32 partitions stay below that, because only owners append.
  private static final CommitLimits COMMIT_LIMITS =
      new CommitLimits(256, 1024 * 1024, 4096, 16 * 1024 * 1024, 50, 50, 2_000);

  private final List<PartitionHost> hosts = new ArrayList<>();

  /** Creates the hosts of all partitions without reading or claiming any of them. */
  public Partitions(
      int count,
      Vertx vertx,
      LogPort log,
      InstantSource clock,
      WriterIdSource writerSource,
      Limits limits,
      RandomGenerator random) {
    ReentrantLock lock = new ReentrantLock();
    HistoryBuffer history = new HistoryBuffer(limits.unloggedBytes(), limits.unloggedTurns());
    for (int partition = 0; partition < count; partition++) {
      String stream = PartitionHost.streamOf(partition);
      PartitionCore core =
          new PartitionCore(
              partition,
              stream,
              new GroupCommitter(stream, COMMIT_LIMITS, random),
              history,
              writerSource.current(),
              LEASE_MS);
      hosts.add(new PartitionHost(partition, core, lock, vertx, log, clock, writerSource));
    }
  }

  /** Returns the number of partitions. */
  public int count() {
    return hosts.size();
  }

  /** Returns the host of the partition to which the program belongs. */
  public PartitionHost hostOf(ProgramId program) {
    return hosts.get(program.partition(hosts.size()));
  }

  /** Returns the host of the partition with the given number. */
  public PartitionHost host(int partition) {
    return hosts.get(partition);
  }

  /** Returns the partitions that this VM owns according to the records read so far. */
  public List<PartitionHost> ownedPartitions() {
    return hosts.stream().filter(PartitionHost::isOwner).toList();
  }

  /** Returns the number of records that are queued and not yet settled, over all partitions. */
  public int pendingRecordCount(long nowMs) {
    int pending = 0;
    for (PartitionHost host : hosts) {
      pending += host.withLock(core -> core.pendingRecordCount(nowMs));
    }
    return pending;
  }

  /**
   * Returns the number of completed turns on this VM that have not been read back from the log,
   * whether they were written by this VM or by a later owner.
   */
  public int unloggedTurnCount() {
    return hosts.get(0).withLock(core -> core.history().heldTurns());
  }

  /**
   * Returns the size of the unlogged history on this VM in bytes, including reservations for
   * running turns.
   */
  public long unloggedBytes() {
    return hosts.get(0).withLock(core -> core.history().usedBytes());
  }
}
