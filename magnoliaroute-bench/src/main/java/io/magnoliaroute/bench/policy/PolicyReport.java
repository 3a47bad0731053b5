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

/** Writes the measures and targets as text and as JSON. */
final class PolicyReport {

  private static final double[] PERCENTILES = {50, 95, 99, 100};

  private final PolicyComparison runs;
  private final List<TargetResult> targets;

  PolicyReport(PolicyComparison runs, List<TargetResult> targets) {
    this.runs = runs;
    this.targets = targets;
  }

  String text() {
    StringBuilder out = new StringBuilder();
    addLoads(out);
    forEachRun((name, measures) -> addRun(out, name, measures));
    runs.counters().forEach((name, c) -> line(out, "decisions, %s: %s", name, c));
    line(out, "");
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
          .put("pass", target.passes());
    }
    ObjectNode all = root.putObject("runs");
    forEachRun((name, measures) -> addRun(all.putObject(name), measures));
    mapper.writeValue(file.toFile(), root);
  }

  private void addLoads(StringBuilder out) {
    long start = WorkloadKind.SPIKE_START_MS;
    line(
        out,
        "offered load: spike %.2f before, %.2f during; mixed lengths %.2f of full speed",
        runs.spike().offeredLoad(0, start),
        runs.spike().offeredLoad(start, WorkloadKind.SPIKE_END_MS),
        runs.mixed().offeredLoad(0, runs.mixed().kind().durationMs()));
  }

  private void forEachRun(BiConsumer<String, RunMeasures> action) {
    for (SchedulingPolicy policy : SchedulingPolicy.values()) {
      action.accept("spike " + policy, runs.spikeRuns().get(policy));
    }
    action.accept("spike flood", runs.floodRun());
    for (SchedulingPolicy policy : SchedulingPolicy.values()) {
      action.accept("mixed " + policy, runs.mixedRuns().get(policy));
    }
    action.accept("mixed not slowed", runs.mixedNotSlowed());
  }

  private static void addRun(StringBuilder out, String name, RunMeasures measures) {
    line(
        out,
        "%n%s: %d finished, %d left, %d refused; in the spike %d, %d, %d; wasted cache %.1f in 100;"
            + " mean of long %.0f ms; %d urgent demoted",
        name,
        measures.count(ProgramEnding.FINISHED),
        measures.count(ProgramEnding.LEFT),
        measures.count(ProgramEnding.REFUSED),
        measures.peakCount(ProgramEnding.FINISHED),
        measures.peakCount(ProgramEnding.LEFT),
        measures.peakCount(ProgramEnding.REFUSED),
        100 * measures.wastedCache(),
        measures.longMeanMs(),
        measures.urgentDemotedCount());
    line(
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
    for (Measure measure : Measure.values()) {
      addMeasure(out, "all", "all", measure, measures.all(measure));
    }
    measures
        .groups()
        .forEach(
            (group, histograms) ->
                histograms.forEach(
                    (measure, histogram) ->
                        addMeasure(
                            out,
                            group.team().value(),
                            group.priority().wireName(),
                            measure,
                            histogram)));
  }

  private static void addMeasure(
      StringBuilder out, String team, String priority, Measure measure, Histogram histogram) {
    if (histogram.getTotalCount() == 0) {
      return;
    }
    String name = measure.name().toLowerCase(Locale.ROOT);
    StringBuilder row = new StringBuilder();
    row.append(String.format(Locale.ROOT, "  %-10s %-7s %-24s", team, priority, name));
    row.append(String.format(Locale.ROOT, " %8d", histogram.getTotalCount()));
    for (double percentile : PERCENTILES) {
      row.append(String.format(Locale.ROOT, " %8d", histogram.getValueAtPercentile(percentile)));
    }
    out.append(row).append('\n');
  }

  private static void addRun(ObjectNode node, RunMeasures measures) {
    for (ProgramEnding ending : ProgramEnding.values()) {
      String name = ending.name().toLowerCase(Locale.ROOT);
      node.put(name, measures.count(ending));
      node.put("peak_" + name, measures.peakCount(ending));
    }
    node.put("wasted_cache", measures.wastedCache());
    node.put("long_mean_ms", measures.longMeanMs());
    ArrayNode rows = node.putArray("measures");
    measures
        .groups()
        .forEach((group, histograms) -> histograms.forEach((m, h) -> addRow(rows, group, m, h)));
  }

  private static void addRow(
      ArrayNode rows, RunMeasures.Group group, Measure measure, Histogram histogram) {
    ObjectNode row = rows.addObject();
    row.put("team", group.team().value());
    row.put("class", group.priority().wireName());
    row.put("measure", measure.name().toLowerCase(Locale.ROOT));
    row.put("count", histogram.getTotalCount());
    for (double percentile : PERCENTILES) {
      row.put("p" + (int) percentile, histogram.getValueAtPercentile(percentile));
    }
  }

  private static void line(StringBuilder out, String format, Object... arguments) {
    out.append(String.format(Locale.ROOT, format, arguments)).append('\n');
  }
}
