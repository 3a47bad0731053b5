package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.TeamId;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** Collects histograms for each team and priority class and program counts of one simulation. */
final class SimulationMetrics {

  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<Group, Map<Metric, Histogram>> histogramsByGroup = new TreeMap<>();
  private final Map<ProgramOutcome, Integer> outcomes = new EnumMap<>(ProgramOutcome.class);
  private final Map<ProgramOutcome, Integer> spikeOutcomes = new EnumMap<>(ProgramOutcome.class);
  private double longProgramLatencySumMs;
  private int longPrograms;
  private long recomputedTokens;
  private long reusableTokens;
  private int urgentDemotions;

  /** A team and a priority class. */
  record Group(TeamId team, PriorityClass priority) implements Comparable<Group> {

    @Override
    public int compareTo(Group other) {
      int teamOrder = team.compareTo(other.team);
      return teamOrder != 0 ? teamOrder : priority.compareTo(other.priority);
    }
  }

  void recordProgramEnd(SimulatedProgram program, boolean enginesSlowed) {
    ProgramSpec spec = program.spec;
    outcomes.merge(program.outcome, 1, Integer::sum);
    boolean arrivedInSpike = arrivedInSpike(spec);
    if (arrivedInSpike) {
      spikeOutcomes.merge(program.outcome, 1, Integer::sum);
    }
    recomputedTokens += program.recomputedTokens;
    reusableTokens += program.reusableTokens;
    recordValue(spec, Metric.RECOMPUTED_TOKENS, program.recomputedTokens);
    if (program.outcome != ProgramOutcome.FINISHED) {
      return;
    }
    long latencyMs = program.endedAtMs - spec.arrivalMs();
    recordValue(spec, Metric.PROGRAM_LATENCY_MS, latencyMs);
    if (arrivedInSpike) {
      recordValue(spec, Metric.PEAK_LATENCY_MS, latencyMs);
    }
    if (enginesSlowed) {
      recordValue(spec, Metric.SLOWED_LATENCY_MS, latencyMs);
    }
    if (spec.isShort()) {
      recordValue(
          spec,
          Metric.SHORT_SLOWDOWN_PERCENT,
          Math.round(100 * latencyMs / spec.unloadedLatencyMs()));
    } else {
      longProgramLatencySumMs += latencyMs;
      longPrograms++;
    }
  }

  void recordUrgentWait(ProgramSpec spec, long waitMs) {
    recordValue(spec, Metric.URGENT_SLOT_WAIT_MS, waitMs);
  }

  void recordUrgentDemotion() {
    urgentDemotions++;
  }

  Map<Group, Map<Metric, Histogram>> histogramsByGroup() {
    return histogramsByGroup;
  }

  /** Returns the histogram of the metric over all teams and classes. */
  Histogram merged(Metric metric) {
    return merged(metric, group -> true);
  }

  /** Returns the histogram of the metric over the teams and classes that match the filter. */
  Histogram merged(Metric metric, Predicate<Group> filter) {
    Histogram merged = new Histogram(SIGNIFICANT_DIGITS);
    histogramsByGroup.forEach(
        (group, histograms) -> {
          if (filter.test(group) && histograms.containsKey(metric)) {
            merged.add(histograms.get(metric));
          }
        });
    return merged;
  }

  int count(ProgramOutcome outcome) {
    return outcomes.getOrDefault(outcome, 0);
  }

  int spikeCount(ProgramOutcome outcome) {
    return spikeOutcomes.getOrDefault(outcome, 0);
  }

  /** Returns the fraction of accepted programs that finished, or 1 if none was accepted. */
  double finishedFraction() {
    double accepted = count(ProgramOutcome.FINISHED) + count(ProgramOutcome.LEFT);
    return accepted == 0 ? 1 : count(ProgramOutcome.FINISHED) / accepted;
  }

  double meanLongProgramLatencyMs() {
    return longPrograms == 0 ? 0 : longProgramLatencySumMs / longPrograms;
  }

  /**
   * Returns the fraction of reusable prompt tokens that were recomputed, or 0 if there are none.
   */
  double recomputedFraction() {
    return reusableTokens == 0 ? 0 : (double) recomputedTokens / reusableTokens;
  }

  int urgentDemotionCount() {
    return urgentDemotions;
  }

  private void recordValue(ProgramSpec spec, Metric metric, long value) {
    histogramsByGroup
        .computeIfAbsent(
            new Group(spec.team().id(), spec.priority()), key -> new EnumMap<>(Metric.class))
        .computeIfAbsent(metric, key -> new Histogram(SIGNIFICANT_DIGITS))
        .recordValue(value);
  }

  private static boolean arrivedInSpike(ProgramSpec spec) {
    return spec.arrivalMs() >= WorkloadKind.SPIKE_START_MS
        && spec.arrivalMs() < WorkloadKind.SPIKE_END_MS;
  }
}
