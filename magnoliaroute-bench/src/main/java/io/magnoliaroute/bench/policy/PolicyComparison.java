package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.schedule.SchedulerCounters;
import io.magnoliaroute.core.schedule.SchedulingPolicy;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The simulation results that the targets are evaluated on.
 *
 * @param spikeWorkload the workload with a demand spike
 * @param spikeRuns the demand spike under each policy
 * @param floodRun the demand spike with a flood of urgent calls, under the default policy
 * @param mixedWorkload the workload with mixed lengths
 * @param mixedRuns the mixed lengths with slowed engines, under each policy
 * @param mixedUnslowedRun the mixed lengths without slowed engines, under the default policy
 * @param counters decision counters of the default policy, by run name
 */
record PolicyComparison(
    Workload spikeWorkload,
    Map<SchedulingPolicy, SimulationMetrics> spikeRuns,
    SimulationMetrics floodRun,
    Workload mixedWorkload,
    Map<SchedulingPolicy, SimulationMetrics> mixedRuns,
    SimulationMetrics mixedUnslowedRun,
    Map<String, SchedulerCounters> counters) {

  /** The seed offset that leaves the fixed seed of each workload unchanged. */
  static final long NO_SEED_OFFSET = 0;

  /**
   * Runs all simulations.
   *
   * @param lengthPercent simulated duration in percent of the full length
   * @param seedOffset added to the fixed seed of each workload
   */
  static PolicyComparison run(int lengthPercent, long seedOffset) {
    Map<String, SchedulerCounters> counters = new TreeMap<>();
    Workload spikeWorkload = generateWorkload(WorkloadKind.DEMAND_SPIKE, lengthPercent, seedOffset);
    Workload mixedWorkload =
        generateWorkload(WorkloadKind.MIXED_LENGTHS, lengthPercent, seedOffset);
    Map<SchedulingPolicy, SimulationMetrics> spikeRuns = new EnumMap<>(SchedulingPolicy.class);
    Map<SchedulingPolicy, SimulationMetrics> mixedRuns = new EnumMap<>(SchedulingPolicy.class);
    for (SchedulingPolicy policy : SchedulingPolicy.values()) {
      spikeRuns.put(policy, run(spikeWorkload, policy, false, "spike", counters));
      mixedRuns.put(policy, run(mixedWorkload, policy, true, "mixed", counters));
    }
    SchedulingPolicy defaultPolicy = SchedulingPolicy.PROGRAM_LEAST_ATTAINED;
    SimulationMetrics floodRun =
        run(spikeWorkload.withUrgentFlood(), defaultPolicy, false, "spike flood", counters);
    SimulationMetrics mixedUnslowedRun =
        run(mixedWorkload, defaultPolicy, false, "mixed not slowed", counters);
    return new PolicyComparison(
        spikeWorkload, spikeRuns, floodRun, mixedWorkload, mixedRuns, mixedUnslowedRun, counters);
  }

  SimulationMetrics defaultSpikeRun() {
    return spikeRuns.get(SchedulingPolicy.PROGRAM_LEAST_ATTAINED);
  }

  SimulationMetrics defaultMixedRun() {
    return mixedRuns.get(SchedulingPolicy.PROGRAM_LEAST_ATTAINED);
  }

  private static Workload generateWorkload(WorkloadKind kind, int lengthPercent, long seedOffset) {
    return Workload.generate(kind, lengthPercent, kind.seed() + seedOffset);
  }

  private static SimulationMetrics run(
      Workload workload,
      SchedulingPolicy policy,
      boolean enginesSlowed,
      String runName,
      Map<String, SchedulerCounters> counters) {
    PolicySimulation simulation = new PolicySimulation(workload, policy, enginesSlowed);
    SimulationMetrics metrics = simulation.run();
    if (policy == SchedulingPolicy.PROGRAM_LEAST_ATTAINED) {
      counters.put(runName, simulation.counters());
    }
    return metrics;
  }
}
