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
 * Takes the partitions that this VM should own, also where no request asks for them, so that open
 * intents of a dead owner are settled, and writes their snapshots.
 */
public final class PartitionTending {

  /** The time between two rounds. */
  public static final long PERIOD_MS = 1_000;

  private static final int PART_BYTES = 256 * 1024;

  private final Partitions partitions;
  private final IntPredicate shouldOwn;
  private final Consumer<PartitionHost> take;
  private final Consumer<PartitionHost> lapse;
  private final InstantSource clock;
  private final DaemonMetrics metrics;
  private final List<SnapshotPlanner> planners = new ArrayList<>();

  /**
   * Makes the tending of all partitions.
   *
   * @param shouldOwn whether the membership names this VM as the owner
   * @param take takes a partition by a claim
   * @param lapse ends the idle programs of an owned partition
   * @param retentionMs the time for which the log keeps records
   */
  public PartitionTending(
      Partitions partitions,
      IntPredicate shouldOwn,
      Consumer<PartitionHost> take,
      Consumer<PartitionHost> lapse,
      long retentionMs,
      InstantSource clock,
      DaemonMetrics metrics) {
    this.partitions = partitions;
    this.shouldOwn = shouldOwn;
    this.take = take;
    this.lapse = lapse;
    this.clock = clock;
    this.metrics = metrics;
    for (int i = 0; i < partitions.count(); i++) {
      planners.add(new SnapshotPlanner(retentionMs, PART_BYTES));
    }
  }

  /** Runs one round. */
  public void round() {
    for (int partition = 0; partition < partitions.count(); partition++) {
      if (!shouldOwn.test(partition)) {
        continue;
      }
      PartitionHost host = partitions.host(partition);
      if (host.isOwner()) {
        snapshot(host);
        lapse.accept(host);
        // Renews the lease ahead of its end, so that requests do not wait for a read.
        host.catchUp().onFailure(failure -> metrics.count("lease_renewal_failures"));
      } else {
        take.accept(host);
      }
    }
  }

  private void snapshot(PartitionHost host) {
    SnapshotPlanner planner = planners.get(host.partition());
    long nowMs = clock.millis();
    int written =
        host.read(
            held -> {
              if (!planner.isDue(held.reader(), nowMs)) {
                return 0;
              }
              List<ProgramRecord.Snapshot> parts =
                  planner.plan(held.state(), held.sequence(), nowMs);
              parts.forEach(part -> held.append(part, nowMs));
              return parts.size();
            });
    if (written > 0) {
      metrics.count("snapshots");
      host.pump();
    }
  }
}
