package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.schedule.SchedulingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/** Compares the measures with the targets of the design page, section 1.8. */
final class PolicyTargets {

  private static final double URGENT_WAIT_MS = EngineFake.longestStepMicros() / 1_000.0 + 50;

  private PolicyTargets() {}

  static List<TargetResult> check(PolicyComparison runs) {
    List<TargetResult> results = new ArrayList<>();
    addProgramLatency(runs, results);
    addPeakService(runs, results);
    addShortBehindLong(runs, results);
    addSlowed(runs, results);
    addUrgent(runs, results);
    addWastedCache(runs, results);
    return results;
  }

  private static void addProgramLatency(PolicyComparison runs, List<TargetResult> results) {
    addProgramLatency(runs, "all classes", group -> true, results);
    // Bulk work may wait, so strict classes alone decide its latency in the spike.
    addProgramLatency(
        runs, "urgent and normal", group -> group.priority() != PriorityClass.BULK, results);
  }

  private static void addProgramLatency(
      PolicyComparison runs,
      String classes,
      Predicate<RunMeasures.Group> filter,
      List<TargetResult> results) {
    ToDoubleFunction<RunMeasures> p95 =
        m -> m.all(Measure.PROGRAM_LATENCY_MS, filter).getValueAtPercentile(95);
    double ours = p95.applyAsDouble(runs.spikeOurs());
    double baseline = lowest(runs.spikeRuns(), p95);
    double clairvoyant =
        p95.applyAsDouble(runs.spikeRuns().get(SchedulingPolicy.CLAIRVOYANT_SHORTEST_REMAINING));
    String row = "program latency";
    results.add(
        TargetResult.atMost(row, "p95 to best baseline's, " + classes, ours / baseline, 0.6));
    results.add(
        TargetResult.atMost(row, "p95 to clairvoyant's, " + classes, ours / clairvoyant, 1.25));
  }

  private static void addPeakService(PolicyComparison runs, List<TargetResult> results) {
    double ours = runs.spikeOurs().peakCount(ProgramEnding.FINISHED);
    double baseline = -lowest(runs.spikeRuns(), m -> -m.peakCount(ProgramEnding.FINISHED));
    String row = "peak service";
    results.add(
        TargetResult.atLeast(
            row, "finished in the spike to best baseline's", ours / baseline, 1.5));
    results.add(
        TargetResult.atLeast(
            row,
            "accepted programs finished in time, in 100",
            100 * runs.spikeOurs().finishedOfAccepted(),
            99));
  }

  private static void addShortBehindLong(PolicyComparison runs, List<TargetResult> results) {
    String row = "short behind long";
    double slowdown =
        runs.mixedOurs().all(Measure.SHORT_SLOWDOWN_PERCENT).getValueAtPercentile(99) / 100.0;
    results.add(TargetResult.atMost(row, "p99 slowdown of short programs", slowdown, 3));
    double baseline = lowest(runs.mixedRuns(), RunMeasures::longMeanMs);
    double longMean = runs.mixedOurs().longMeanMs();
    results.add(
        TargetResult.atMost(
            row, "mean of long programs to arrival order's", longMean / baseline, 1.3));
  }

  private static void addSlowed(PolicyComparison runs, List<TargetResult> results) {
    double ratio = latency(runs.mixedOurs(), 99) / latency(runs.mixedNotSlowed(), 99);
    results.add(TargetResult.atMost("slowed endpoints", "p99 latency to none slowed", ratio, 1.5));
  }

  private static void addUrgent(PolicyComparison runs, List<TargetResult> results) {
    String row = "urgent";
    double wait = urgentWait(runs.spikeOurs().all(Measure.URGENT_SLOT_WAIT_MS));
    double others =
        urgentWait(
            runs.floodRun()
                .all(
                    Measure.URGENT_SLOT_WAIT_MS,
                    group -> !group.team().equals(Workload.floodTeam().id())));
    results.add(TargetResult.atMost(row, "p99 slot wait in ms", wait, URGENT_WAIT_MS));
    results.add(
        TargetResult.atMost(
            row, "p99 slot wait in ms of other teams in a flood", others, URGENT_WAIT_MS));
  }

  private static void addWastedCache(PolicyComparison runs, List<TargetResult> results) {
    String row = "wasted cache";
    results.add(
        TargetResult.atMost(
            row,
            "recomputed of reusable tokens in 100, spike",
            100 * runs.spikeOurs().wastedCache(),
            10));
    results.add(
        TargetResult.atMost(
            row,
            "recomputed of reusable tokens in 100, mixed lengths",
            100 * runs.mixedOurs().wastedCache(),
            10));
  }

  private static double latency(RunMeasures measures, double percentile) {
    return measures.all(Measure.PROGRAM_LATENCY_MS).getValueAtPercentile(percentile);
  }

  private static double urgentWait(Histogram waits) {
    return waits.getValueAtPercentile(99);
  }

  /** Returns the lowest figure of the two baselines in arrival order. */
  private static double lowest(
      Map<SchedulingPolicy, RunMeasures> runs, ToDoubleFunction<RunMeasures> figure) {
    return Math.min(
        figure.applyAsDouble(runs.get(SchedulingPolicy.ARRIVAL_ROUND_ROBIN)),
        figure.applyAsDouble(runs.get(SchedulingPolicy.ARRIVAL_LEAST_OUTSTANDING)));
  }
}
