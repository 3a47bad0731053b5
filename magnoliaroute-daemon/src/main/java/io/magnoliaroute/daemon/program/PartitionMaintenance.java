package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.SnapshotPlanner;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

/**
 * Periodically claims the partitions that this VM should own and maintains the ones that it owns:
 * writes snapshots, expires idle programs and renews the lease.
 *
 * <p>Partitions are claimed even if no request uses them, so that the open intents of a failed
 * owner are recovered.
 */
public final class PartitionMaintenance {

  /** The interval between two rounds. */
  public static final long INTERVAL_MS = 1_000;

  private static final int SNAPSHOT_PART_BYTES = 256 * 1024;

  private final Partitions partitions;
  private final IntPredicate shouldOwn;
  private final Consumer<PartitionHost> claimPartition;
  private final Consumer<PartitionHost> expireIdlePrograms;
  private final InstantSource clock;
  private final DaemonMetrics metrics;
  private final List<SnapshotPlanner> planners = new ArrayList<>();

  /**
   * Creates the maintenance of all partitions.
   *
   * @param shouldOwn whether this VM is the owner of a partition according to the membership
   * @param claimPartition claims a partition
   * @param expireIdlePrograms expires the idle programs of an owned partition
   * @param retentionMs the time for which the log retains records
   */
  public PartitionMaintenance(
      Partitions partitions,
      IntPredicate shouldOwn,
      Consumer<PartitionHost> claimPartition,
      Consumer<PartitionHost> expireIdlePrograms,
      long retentionMs,
      InstantSource clock,
      DaemonMetrics metrics) {
    this.partitions = partitions;
    this.shouldOwn = shouldOwn;
    this.claimPartition = claimPartition;
    this.expireIdlePrograms = expireIdlePrograms;
    this.clock = clock;
    this.metrics = metrics;
    for (int i = 0; i < partitions.count(); i++) {
      planners.add(new SnapshotPlanner(retentionMs, SNAPSHOT_PART_BYTES));
    }
  }

  /** Runs one round over all partitions that this VM should own. */
  public void runRound() {
    for (int partition = 0; partition < partitions.count(); partition++) {
      if (!shouldOwn.test(partition)) {
        continue;
      }
      PartitionHost host = partitions.host(partition);
      if (host.isOwner()) {
        writeSnapshot(host);
        expireIdlePrograms.accept(host);
        // Renews the lease before it expires, so that requests do not wait for a read.
        host.catchUp().onFailure(failure -> metrics.increment("lease_renewal_failures"));
      } else {
        claimPartition.accept(host);
      }
    }
  }

  private void writeSnapshot(PartitionHost host) {
    SnapshotPlanner planner = planners.get(host.partition());
    long nowMs = clock.millis();
    int partCount =
        host.withLock(
            core -> {
              if (!planner.isDue(core.reader(), nowMs)) {
                return 0;
              }
              List<ProgramRecord.Snapshot> parts =
                  planner.plan(core.state(), core.recordIds(), nowMs);
              parts.forEach(part -> core.append(part, nowMs));
              return parts.size();
            });
    if (partCount > 0) {
      metrics.increment("snapshots");
      host.appendNextBatch();
    }
  }
}
