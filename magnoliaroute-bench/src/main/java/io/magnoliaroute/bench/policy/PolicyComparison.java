package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.schedule.SchedulerCounters;
import io.magnoliaroute.core.schedule.SchedulingPolicy;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The runs that the targets compare.
 *
 * @param spike the demand spike
 * @param spikeRuns the spike under each policy
 * @param floodRun the spike under the default policy with a flood of urgent work
 * @param mixed the mixed lengths
 * @param mixedRuns the mixed lengths with slowed engines under each policy
 * @param mixedNotSlowed the mixed lengths without slowed engines under the default policy
 * @param counters what the default policy decided, by run
 */
record PolicyComparison(
    Workload spike,
    Map<SchedulingPolicy, RunMeasures> spikeRuns,
    RunMeasures floodRun,
    Workload mixed,
    Map<SchedulingPolicy, RunMeasures> mixedRuns,
    RunMeasures mixedNotSlowed,
    Map<String, SchedulerCounters> counters) {

  /** The seed that keeps the fixed seed of each workload. */
  static final long FIXED_SEEDS = 0;

  /** Runs everything; {@code seedOffset} is added to the fixed seeds. */
  static PolicyComparison run(int lengthPercent, long seedOffset) {
    Map<String, SchedulerCounters> counters = new TreeMap<>();
    Workload spike = workload(WorkloadKind.DEMAND_SPIKE, lengthPercent, seedOffset);
    Workload mixed = workload(WorkloadKind.MIXED_LENGTHS, lengthPercent, seedOffset);
    Map<SchedulingPolicy, RunMeasures> spikeRuns = new EnumMap<>(SchedulingPolicy.class);
    Map<SchedulingPolicy, RunMeasures> mixedRuns = new EnumMap<>(SchedulingPolicy.class);
    for (SchedulingPolicy policy : SchedulingPolicy.values()) {
      spikeRuns.put(policy, run(spike, policy, false, "spike", counters));
      mixedRuns.put(policy, run(mixed, policy, true, "mixed", counters));
    }
    SchedulingPolicy ours = SchedulingPolicy.PROGRAM_LEAST_ATTAINED;
    RunMeasures flood = run(spike.withUrgentFlood(), ours, false, "spike flood", counters);
    RunMeasures notSlowed = run(mixed, ours, false, "mixed not slowed", counters);
    return new PolicyComparison(spike, spikeRuns, flood, mixed, mixedRuns, notSlowed, counters);
  }

  RunMeasures spikeOurs() {
    return spikeRuns.get(SchedulingPolicy.PROGRAM_LEAST_ATTAINED);
  }

  RunMeasures mixedOurs() {
    return mixedRuns.get(SchedulingPolicy.PROGRAM_LEAST_ATTAINED);
  }

  private static Workload workload(WorkloadKind kind, int lengthPercent, long seedOffset) {
    return Workload.generate(kind, lengthPercent, kind.seed() + seedOffset);
  }

  private static RunMeasures run(
      Workload workload,
      SchedulingPolicy policy,
      boolean slowed,
      String name,
      Map<String, SchedulerCounters> counters) {
    PolicyRun run = new PolicyRun(workload, policy, slowed);
    RunMeasures measures = run.run();
    if (policy == SchedulingPolicy.PROGRAM_LEAST_ATTAINED) {
      counters.put(name, run.counters());
    }
    return measures;
  }
}
