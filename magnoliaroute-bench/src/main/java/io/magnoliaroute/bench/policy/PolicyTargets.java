package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.schedule.SchedulingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/** Evaluates the performance targets of docs/design.md, section 1.8. */
final class PolicyTargets {

  private static final double MAX_URGENT_SLOT_WAIT_MS =
      SimulatedEngine.longestStepMicros() / 1_000.0 + 50;

  private PolicyTargets() {}

  static List<TargetResult> evaluate(PolicyComparison comparison) {
    List<TargetResult> results = new ArrayList<>();
    addProgramLatency(comparison, results);
    addPeakService(comparison, results);
    addHeadOfLineBlocking(comparison, results);
    addSlowedEndpoints(comparison, results);
    addUrgentSlotWait(comparison, results);
    addRecomputedTokens(comparison, results);
    return results;
  }

  private static void addProgramLatency(PolicyComparison comparison, List<TargetResult> results) {
    addProgramLatency(comparison, "all classes", group -> true, results);
    // Bulk work may wait, so program latency is evaluated once more without it.
    addProgramLatency(
        comparison, "urgent and normal", group -> group.priority() != PriorityClass.BULK, results);
  }

  private static void addProgramLatency(
      PolicyComparison comparison,
      String classes,
      Predicate<SimulationMetrics.Group> filter,
      List<TargetResult> results) {
    ToDoubleFunction<SimulationMetrics> p95 =
        m -> m.merged(Metric.PROGRAM_LATENCY_MS, filter).getValueAtPercentile(95);
    double actual = p95.applyAsDouble(comparison.defaultSpikeRun());
    double bestBaseline = lowestOfBaselines(comparison.spikeRuns(), p95);
    double clairvoyant =
        p95.applyAsDouble(
            comparison.spikeRuns().get(SchedulingPolicy.CLAIRVOYANT_SHORTEST_REMAINING));
    String row = "program latency";
    results.add(
        TargetResult.atMost(row, "p95 to best baseline's, " + classes, actual / bestBaseline, 0.6));
    results.add(
        TargetResult.atMost(row, "p95 to clairvoyant's, " + classes, actual / clairvoyant, 1.25));
  }

  private static void addPeakService(PolicyComparison comparison, List<TargetResult> results) {
    double actual = comparison.defaultSpikeRun().spikeCount(ProgramOutcome.FINISHED);
    double bestBaseline =
        -lowestOfBaselines(comparison.spikeRuns(), m -> -m.spikeCount(ProgramOutcome.FINISHED));
    String row = "peak service";
    results.add(
        TargetResult.atLeast(
            row, "finished in the spike to best baseline's", actual / bestBaseline, 1.5));
    results.add(
        TargetResult.atLeast(
            row,
            "accepted programs finished in time, in 100",
            100 * comparison.defaultSpikeRun().finishedFraction(),
            99));
  }

  private static void addHeadOfLineBlocking(
      PolicyComparison comparison, List<TargetResult> results) {
    String row = "short behind long";
    double slowdown =
        comparison.defaultMixedRun().merged(Metric.SHORT_SLOWDOWN_PERCENT).getValueAtPercentile(99)
            / 100.0;
    results.add(TargetResult.atMost(row, "p99 slowdown of short programs", slowdown, 3));
    double bestBaseline =
        lowestOfBaselines(comparison.mixedRuns(), SimulationMetrics::meanLongProgramLatencyMs);
    double longMean = comparison.defaultMixedRun().meanLongProgramLatencyMs();
    results.add(
        TargetResult.atMost(
            row, "mean of long programs to arrival order's", longMean / bestBaseline, 1.3));
  }

  private static void addSlowedEndpoints(PolicyComparison comparison, List<TargetResult> results) {
    double ratio =
        programLatency(comparison.defaultMixedRun(), 99)
            / programLatency(comparison.mixedUnslowedRun(), 99);
    results.add(TargetResult.atMost("slowed endpoints", "p99 latency to none slowed", ratio, 1.5));
  }

  private static void addUrgentSlotWait(PolicyComparison comparison, List<TargetResult> results) {
    String row = "urgent";
    double wait = p99(comparison.defaultSpikeRun().merged(Metric.URGENT_SLOT_WAIT_MS));
    double otherTeamsWait =
        p99(
            comparison
                .floodRun()
                .merged(
                    Metric.URGENT_SLOT_WAIT_MS,
                    group -> !group.team().equals(Workload.floodTeam().id())));
    results.add(TargetResult.atMost(row, "p99 slot wait in ms", wait, MAX_URGENT_SLOT_WAIT_MS));
    results.add(
        TargetResult.atMost(
            row,
            "p99 slot wait in ms of other teams in a flood",
            otherTeamsWait,
            MAX_URGENT_SLOT_WAIT_MS));
  }

  private static void addRecomputedTokens(PolicyComparison comparison, List<TargetResult> results) {
    String row = "wasted cache";
    results.add(
        TargetResult.atMost(
            row,
            "recomputed of reusable tokens in 100, spike",
            100 * comparison.defaultSpikeRun().recomputedFraction(),
            10));
    results.add(
        TargetResult.atMost(
            row,
            "recomputed of reusable tokens in 100, mixed lengths",
            100 * comparison.defaultMixedRun().recomputedFraction(),
            10));
  }

  private static double programLatency(SimulationMetrics metrics, double percentile) {
    return metrics.merged(Metric.PROGRAM_LATENCY_MS).getValueAtPercentile(percentile);
  }

  private static double p99(Histogram histogram) {
    return histogram.getValueAtPercentile(99);
  }

  /** Returns the lower value of the two baseline policies, which serve calls in arrival order. */
  private static double lowestOfBaselines(
      Map<SchedulingPolicy, SimulationMetrics> runs, ToDoubleFunction<SimulationMetrics> metric) {
    return Math.min(
        metric.applyAsDouble(runs.get(SchedulingPolicy.ARRIVAL_ROUND_ROBIN)),
        metric.applyAsDouble(runs.get(SchedulingPolicy.ARRIVAL_LEAST_OUTSTANDING)));
  }
}
