package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.PriorityClass;
import java.util.List;

/** The two workloads of docs/design.md, section 1.8, at the sizes of section 1.1. */
enum WorkloadKind {
  /** Demand rises to three times the capacity within two seconds, and callers time out. */
  DEMAND_SPIKE(6, 3, 360_000, 0x51ce5eedL) {
    @Override
    List<TeamSpec> teams() {
      return List.of(TeamSpec.of("shops", 2), TeamSpec.of("hotels", 1), TeamSpec.of("homes", 1));
    }

    @Override
    double offeredLoad(long timeMs) {
      double rampUp = (double) (timeMs - SPIKE_START_MS) / SPIKE_RAMP_MS;
      double rampDown = (double) (timeMs - SPIKE_END_MS) / SPIKE_RAMP_MS;
      double spikeFraction = Math.min(1, Math.max(0, rampUp)) - Math.min(1, Math.max(0, rampDown));
      return BASE_LOAD * (1 + (SPIKE_LOAD_FACTOR - 1) * spikeFraction);
    }

    @Override
    ProgramSpec sampleProgram(WorkloadSampler sampler, ProgramArrival arrival) {
      double draw = sampler.uniform();
      if (draw < 0.02) {
        return arrival
            .withPriority(PriorityClass.URGENT)
            .toProgram(20_000, true, sampleUrgentTurns(sampler));
      }
      if (draw < 0.17) {
        List<TurnSpec> turns = sampler.sampleTurns(sampler.between(2, 8), 60, 240, 300, 1_500);
        return arrival.withPriority(PriorityClass.BULK).toProgram(300_000, false, turns);
      }
      if (draw < 0.20) {
        return sampleStraggler(sampler, arrival);
      }
      List<TurnSpec> turns = sampler.sampleTurns(sampler.between(2, 6), 40, 200, 200, 1_500);
      return arrival.toProgram(sampler.between(25_000, 45_000), true, turns);
    }
  },
  /** Short programs among long planning programs; two of the eight engines are slowed in turn. */
  MIXED_LENGTHS(8, 4, 600_000, 0x3a17ed5eedL) {
    @Override
    List<TeamSpec> teams() {
      return List.of(TeamSpec.of("routes", 2), TeamSpec.of("permits", 1));
    }

    @Override
    double offeredLoad(long timeMs) {
      // Two of eight engines at a third of their speed leave the capacity of 6.67 engines; the load
      // is 0.85 of that.
      return 0.85 * (6 + 2.0 / SimulatedEngine.SLOWDOWN_FACTOR) / 8;
    }

    @Override
    boolean isSlowed(int engine, long timeMs) {
      return (timeMs / SLOWDOWN_PERIOD_MS) % 4 == engine / 2;
    }

    @Override
    ProgramSpec sampleProgram(WorkloadSampler sampler, ProgramArrival arrival) {
      double draw = sampler.uniform();
      if (draw < 0.02) {
        return arrival
            .withPriority(PriorityClass.URGENT)
            .toProgram(60_000, true, sampleUrgentTurns(sampler));
      }
      if (draw < 0.72) {
        List<TurnSpec> turns = sampler.sampleTurns(sampler.between(1, 2), 30, 120, 200, 500);
        return arrival.toProgram(120_000, true, turns);
      }
      if (draw < 0.97) {
        List<TurnSpec> turns = sampler.sampleTurns(sampler.between(4, 12), 100, 400, 300, 1_500);
        return arrival.toProgram(900_000, false, turns);
      }
      return sampleStraggler(sampler, arrival);
    }
  };

  static final long SPIKE_START_MS = 120_000;
  static final long SPIKE_END_MS = 180_000;
  static final long SPIKE_RAMP_MS = 2_000;
  static final double BASE_LOAD = 0.6;
  static final double SPIKE_LOAD_FACTOR = 5;

  /** Time for which a pair of engines is slowed before the next pair is. */
  private static final long SLOWDOWN_PERIOD_MS = 60_000;

  private static final int MAX_STRAGGLER_TURNS = 67;

  /**
   * Multiple of the unloaded latency; callers of long programs have proportionally long timeouts.
   */
  private static final double STRAGGLER_TIMEOUT_FACTOR = 4;

  private static final long STRAGGLER_MIN_TIMEOUT_MS = 120_000;

  private final int engines;
  private final int dataCentres;
  private final long durationMs;
  private final long seed;

  WorkloadKind(int engines, int dataCentres, long durationMs, long seed) {
    this.engines = engines;
    this.dataCentres = dataCentres;
    this.durationMs = durationMs;
    this.seed = seed;
  }

  int engines() {
    return engines;
  }

  int dataCentres() {
    return dataCentres;
  }

  /** Returns the time span of the arrivals at full length. */
  long durationMs() {
    return durationMs;
  }

  long seed() {
    return seed;
  }

  abstract List<TeamSpec> teams();

  /** Returns the demand as a fraction of the capacity of all engines at full speed. */
  abstract double offeredLoad(long timeMs);

  /** Returns whether the engine is slowed at this time, in runs with slowed engines. */
  boolean isSlowed(int engine, long timeMs) {
    return false;
  }

  /** Samples a program from the mix of this workload. */
  abstract ProgramSpec sampleProgram(WorkloadSampler sampler, ProgramArrival arrival);

  private static List<TurnSpec> sampleUrgentTurns(WorkloadSampler sampler) {
    return sampler.sampleTurns(sampler.between(1, 2), 30, 100, 200, 500);
  }

  private static ProgramSpec sampleStraggler(WorkloadSampler sampler, ProgramArrival arrival) {
    int turnCount = (int) Math.min(MAX_STRAGGLER_TURNS, sampler.pareto(12, 1.2));
    List<TurnSpec> turns = sampler.sampleTurns(turnCount, 100, 400, 400, 1_500);
    double unloadedLatencyMs = arrival.toProgram(1, false, turns).unloadedLatencyMs();
    long timeoutMs =
        (long) Math.max(STRAGGLER_MIN_TIMEOUT_MS, STRAGGLER_TIMEOUT_FACTOR * unloadedLatencyMs);
    return arrival.toProgram(timeoutMs, false, turns);
  }
}
