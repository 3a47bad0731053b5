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

/** The program partitions as this VM has them. */
public final class Partitions {

  /** The lease of an owner; equal to the suspicion time, after which another VM may claim. */
  static final long LEASE_MS = 2_000;

  // The log takes several hundred appends a second from all VMs. At most 20 batches a second for
  // each of 32 partitions stay under it, because only owners append.
  private static final CommitLimits COMMIT_LIMITS =
      new CommitLimits(256, 1024 * 1024, 4096, 16 * 1024 * 1024, 50, 50, 2_000);

  private final List<PartitionHost> hosts = new ArrayList<>();

  /** Makes the hosts of all partitions; nothing is read or claimed yet. */
  public Partitions(
      int count,
      Vertx vertx,
      LogPort log,
      InstantSource clock,
      WriterSource writers,
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
              writers.current(),
              LEASE_MS);
      hosts.add(new PartitionHost(partition, core, lock, vertx, log, clock, writers));
    }
  }

  /** Returns the number of partitions. */
  public int count() {
    return hosts.size();
  }

  /** Returns the host of the program's partition. */
  public PartitionHost of(ProgramId program) {
    return hosts.get(program.partition(hosts.size()));
  }

  /** Returns the host of the partition. */
  public PartitionHost host(int partition) {
    return hosts.get(partition);
  }

  /** Returns the partitions whose claim this VM holds, as far as was read. */
  public List<PartitionHost> owned() {
    return hosts.stream().filter(PartitionHost::isOwner).toList();
  }

  /** Returns the records that wait for the log. */
  public int pendingRecords(long nowMs) {
    int pending = 0;
    for (PartitionHost host : hosts) {
      pending += host.read(held -> held.pendingRecords(nowMs));
    }
    return pending;
  }

  /** Returns the completed turns that are not known to be logged, by this VM or a later owner. */
  public int unloggedTurns() {
    return hosts.get(0).read(held -> held.history().heldTurns());
  }

  /** Returns the bytes of history that are not known to be logged. */
  public long unloggedBytes() {
    return hosts.get(0).read(held -> held.history().usedBytes());
  }
}
