package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.TeamId;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** The measures of one run as histograms for each team and class, and counts of programs. */
final class RunMeasures {

  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<Group, Map<Measure, Histogram>> groups = new TreeMap<>();
  private final Map<ProgramEnding, Integer> endings = new EnumMap<>(ProgramEnding.class);
  private final Map<ProgramEnding, Integer> peakEndings = new EnumMap<>(ProgramEnding.class);
  private double longLatencySumMs;
  private int longPrograms;
  private long recomputedTokens;
  private long reusableTokens;
  private int urgentDemoted;

  /** A team and a class. */
  record Group(TeamId team, PriorityClass priority) implements Comparable<Group> {

    @Override
    public int compareTo(Group other) {
      int byTeam = team.compareTo(other.team);
      return byTeam != 0 ? byTeam : priority.compareTo(other.priority);
    }
  }

  void ended(ProgramRun program, boolean slowed) {
    ProgramPlan plan = program.plan;
    endings.merge(program.ending, 1, Integer::sum);
    boolean peak = arrivedInSpike(plan);
    if (peak) {
      peakEndings.merge(program.ending, 1, Integer::sum);
    }
    recomputedTokens += program.recomputedTokens;
    reusableTokens += program.reusableTokens;
    record(plan, Measure.RECOMPUTED_TOKENS, program.recomputedTokens);
    if (program.ending != ProgramEnding.FINISHED) {
      return;
    }
    long latencyMs = program.endedMs - plan.arrivalMs();
    record(plan, Measure.PROGRAM_LATENCY_MS, latencyMs);
    if (peak) {
      record(plan, Measure.PEAK_LATENCY_MS, latencyMs);
    }
    if (slowed) {
      record(plan, Measure.SLOWED_LATENCY_MS, latencyMs);
    }
    if (plan.isShort()) {
      record(plan, Measure.SHORT_SLOWDOWN_PERCENT, Math.round(100 * latencyMs / plan.aloneMs()));
    } else {
      longLatencySumMs += latencyMs;
      longPrograms++;
    }
  }

  void urgentWaited(ProgramPlan plan, long waitMs) {
    record(plan, Measure.URGENT_SLOT_WAIT_MS, waitMs);
  }

  void urgentDemoted() {
    urgentDemoted++;
  }

  Map<Group, Map<Measure, Histogram>> groups() {
    return groups;
  }

  /** Returns the measure over all teams and classes. */
  Histogram all(Measure measure) {
    return all(measure, group -> true);
  }

  /** Returns the measure over the teams and classes that the filter lets through. */
  Histogram all(Measure measure, Predicate<Group> filter) {
    Histogram sum = new Histogram(SIGNIFICANT_DIGITS);
    groups.forEach(
        (group, histograms) -> {
          if (filter.test(group) && histograms.containsKey(measure)) {
            sum.add(histograms.get(measure));
          }
        });
    return sum;
  }

  int count(ProgramEnding ending) {
    return endings.getOrDefault(ending, 0);
  }

  int peakCount(ProgramEnding ending) {
    return peakEndings.getOrDefault(ending, 0);
  }

  /** Returns the finished part of accepted programs. */
  double finishedOfAccepted() {
    double accepted = count(ProgramEnding.FINISHED) + count(ProgramEnding.LEFT);
    return accepted == 0 ? 1 : count(ProgramEnding.FINISHED) / accepted;
  }

  double longMeanMs() {
    return longPrograms == 0 ? 0 : longLatencySumMs / longPrograms;
  }

  /** Returns the recomputed part of the tokens that perfect affinity would find in a cache. */
  double wastedCache() {
    return reusableTokens == 0 ? 0 : (double) recomputedTokens / reusableTokens;
  }

  int urgentDemotedCount() {
    return urgentDemoted;
  }

  private void record(ProgramPlan plan, Measure measure, long value) {
    groups
        .computeIfAbsent(
            new Group(plan.team().id(), plan.priority()), key -> new EnumMap<>(Measure.class))
        .computeIfAbsent(measure, key -> new Histogram(SIGNIFICANT_DIGITS))
        .recordValue(value);
  }

  private static boolean arrivedInSpike(ProgramPlan plan) {
    return plan.arrivalMs() >= WorkloadKind.SPIKE_START_MS
        && plan.arrivalMs() < WorkloadKind.SPIKE_END_MS;
  }
}
