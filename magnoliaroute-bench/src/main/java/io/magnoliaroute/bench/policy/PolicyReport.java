package io.magnoliaroute.bench.policy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.magnoliaroute.core.schedule.SchedulingPolicy;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;
import org.HdrHistogram.Histogram;

/** Formats metrics and target results of a comparison as text and as JSON. */
final class PolicyReport {

  private static final double[] PERCENTILES = {50, 95, 99, 100};

  private final PolicyComparison comparison;
  private final List<TargetResult> targets;

  PolicyReport(PolicyComparison comparison, List<TargetResult> targets) {
    this.comparison = comparison;
    this.targets = targets;
  }

  String text() {
    StringBuilder out = new StringBuilder();
    appendOfferedLoads(out);
    forEachRun((name, metrics) -> appendRun(out, name, metrics));
    comparison.counters().forEach((name, c) -> appendLine(out, "decisions, %s: %s", name, c));
    appendLine(out, "");
    targets.forEach(target -> out.append(target.line()).append('\n'));
    return out.toString();
  }

  void writeJson(Path file) throws IOException {
    ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    ObjectNode root = mapper.createObjectNode();
    ArrayNode rows = root.putArray("targets");
    for (TargetResult target : targets) {
      rows.addObject()
          .put("row", target.row())
          .put("description", target.description())
          .put("measured", target.measured())
          .put("bound", target.bound())
          .put("relation", target.atMost() ? "at_most" : "at_least")
          .put("pass", target.isMet());
    }
    ObjectNode all = root.putObject("runs");
    forEachRun((name, metrics) -> putRun(all.putObject(name), metrics));
    mapper.writeValue(file.toFile(), root);
  }

  private void appendOfferedLoads(StringBuilder out) {
    long start = WorkloadKind.SPIKE_START_MS;
    appendLine(
        out,
        "offered load: spike %.2f before, %.2f during; mixed lengths %.2f of full speed",
        comparison.spikeWorkload().offeredLoad(0, start),
        comparison.spikeWorkload().offeredLoad(start, WorkloadKind.SPIKE_END_MS),
        comparison.mixedWorkload().offeredLoad(0, comparison.mixedWorkload().kind().durationMs()));
  }

  private void forEachRun(BiConsumer<String, SimulationMetrics> action) {
    for (SchedulingPolicy policy : SchedulingPolicy.values()) {
      action.accept("spike " + policy, comparison.spikeRuns().get(policy));
    }
    action.accept("spike flood", comparison.floodRun());
    for (SchedulingPolicy policy : SchedulingPolicy.values()) {
      action.accept("mixed " + policy, comparison.mixedRuns().get(policy));
    }
    action.accept("mixed not slowed", comparison.mixedUnslowedRun());
  }

  private static void appendRun(StringBuilder out, String name, SimulationMetrics metrics) {
    appendLine(
        out,
        "%n%s: %d finished, %d left, %d refused; in the spike %d, %d, %d; wasted cache %.1f in 100;"
            + " mean of long %.0f ms; %d urgent demoted",
        name,
        metrics.count(ProgramOutcome.FINISHED),
        metrics.count(ProgramOutcome.LEFT),
        metrics.count(ProgramOutcome.REFUSED),
        metrics.spikeCount(ProgramOutcome.FINISHED),
        metrics.spikeCount(ProgramOutcome.LEFT),
        metrics.spikeCount(ProgramOutcome.REFUSED),
        100 * metrics.recomputedFraction(),
        metrics.meanLongProgramLatencyMs(),
        metrics.urgentDemotionCount());
    appendLine(
        out,
        "  %-10s %-7s %-24s %8s %8s %8s %8s %8s",
        "team",
        "class",
        "measure",
        "count",
        "p50",
        "p95",
        "p99",
        "max");
    for (Metric metric : Metric.values()) {
      appendMetric(out, "all", "all", metric, metrics.merged(metric));
    }
    metrics
        .histogramsByGroup()
        .forEach(
            (group, histograms) ->
                histograms.forEach(
                    (metric, histogram) ->
                        appendMetric(
                            out,
                            group.team().value(),
                            group.priority().wireName(),
                            metric,
                            histogram)));
  }

  private static void appendMetric(
      StringBuilder out, String team, String priority, Metric metric, Histogram histogram) {
    if (histogram.getTotalCount() == 0) {
      return;
    }
    String name = metric.name().toLowerCase(Locale.ROOT);
    StringBuilder line = new StringBuilder();
    line.append(String.format(Locale.ROOT, "  %-10s %-7s %-24s", team, priority, name));
    line.append(String.format(Locale.ROOT, " %8d", histogram.getTotalCount()));
    for (double percentile : PERCENTILES) {
      line.append(String.format(Locale.ROOT, " %8d", histogram.getValueAtPercentile(percentile)));
    }
    out.append(line).append('\n');
  }

  private static void putRun(ObjectNode node, SimulationMetrics metrics) {
    for (ProgramOutcome outcome : ProgramOutcome.values()) {
      String name = outcome.name().toLowerCase(Locale.ROOT);
      node.put(name, metrics.count(outcome));
      node.put("peak_" + name, metrics.spikeCount(outcome));
    }
    node.put("wasted_cache", metrics.recomputedFraction());
    node.put("long_mean_ms", metrics.meanLongProgramLatencyMs());
    ArrayNode rows = node.putArray("measures");
    metrics
        .histogramsByGroup()
        .forEach((group, histograms) -> histograms.forEach((m, h) -> putMetric(rows, group, m, h)));
  }

  private static void putMetric(
      ArrayNode rows, SimulationMetrics.Group group, Metric metric, Histogram histogram) {
    ObjectNode row = rows.addObject();
    row.put("team", group.team().value());
    row.put("class", group.priority().wireName());
    row.put("measure", metric.name().toLowerCase(Locale.ROOT));
    row.put("count", histogram.getTotalCount());
    for (double percentile : PERCENTILES) {
      row.put("p" + (int) percentile, histogram.getValueAtPercentile(percentile));
    }
  }

  private static void appendLine(StringBuilder out, String format, Object... arguments) {
    out.append(String.format(Locale.ROOT, format, arguments)).append('\n');
  }
}
