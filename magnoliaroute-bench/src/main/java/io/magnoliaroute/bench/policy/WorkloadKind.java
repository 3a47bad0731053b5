package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.PriorityClass;
import java.util.List;

/** The two workloads of the design page, section 1.8, at the sizes of section 1.1. */
enum WorkloadKind {
  /** Demand rises to three times the capacity within two seconds; callers leave. */
  DEMAND_SPIKE(6, 3, 360_000, 0x51ce5eedL) {
    @Override
    List<TeamPlan> teams() {
      return List.of(TeamPlan.of("shops", 2), TeamPlan.of("hotels", 1), TeamPlan.of("homes", 1));
    }

    @Override
    double load(long timeMs) {
      double risen = (double) (timeMs - SPIKE_START_MS) / SPIKE_RISE_MS;
      double fallen = (double) (timeMs - SPIKE_END_MS) / SPIKE_RISE_MS;
      double part = Math.min(1, Math.max(0, risen)) - Math.min(1, Math.max(0, fallen));
      return SPIKE_BASE_LOAD * (1 + (SPIKE_FACTOR - 1) * part);
    }

    @Override
    ProgramPlan program(WorkloadRandom random, ProgramFrame frame) {
      double kind = random.uniform();
      if (kind < 0.02) {
        return frame.withClass(PriorityClass.URGENT).plan(20_000, true, urgentTurns(random));
      }
      if (kind < 0.17) {
        List<TurnPlan> turns = random.turns(random.between(2, 8), 60, 240, 300, 1_500);
        return frame.withClass(PriorityClass.BULK).plan(300_000, false, turns);
      }
      if (kind < 0.20) {
        return straggler(random, frame);
      }
      List<TurnPlan> turns = random.turns(random.between(2, 6), 40, 200, 200, 1_500);
      return frame.plan(random.between(25_000, 45_000), true, turns);
    }
  },
  /** Short answers among long planning programs; two of eight engines are slowed in turn. */
  MIXED_LENGTHS(8, 4, 600_000, 0x3a17ed5eedL) {
    @Override
    List<TeamPlan> teams() {
      return List.of(TeamPlan.of("routes", 2), TeamPlan.of("permits", 1));
    }

    @Override
    double load(long timeMs) {
      // Two of eight engines at a third of their speed leave 6.67 engines, loaded at 0.85.
      return 0.85 * (6 + 2.0 / EngineFake.SLOW_FACTOR) / 8;
    }

    @Override
    boolean isSlowed(int engine, long timeMs) {
      return (timeMs / SLOWED_MS) % 4 == engine / 2;
    }

    @Override
    ProgramPlan program(WorkloadRandom random, ProgramFrame frame) {
      double kind = random.uniform();
      if (kind < 0.02) {
        return frame.withClass(PriorityClass.URGENT).plan(60_000, true, urgentTurns(random));
      }
      if (kind < 0.72) {
        List<TurnPlan> turns = random.turns(random.between(1, 2), 30, 120, 200, 500);
        return frame.plan(120_000, true, turns);
      }
      if (kind < 0.97) {
        List<TurnPlan> turns = random.turns(random.between(4, 12), 100, 400, 300, 1_500);
        return frame.plan(900_000, false, turns);
      }
      return straggler(random, frame);
    }
  };

  static final long SPIKE_START_MS = 120_000;
  static final long SPIKE_END_MS = 180_000;
  static final long SPIKE_RISE_MS = 2_000;
  static final double SPIKE_BASE_LOAD = 0.6;
  static final double SPIKE_FACTOR = 5;

  /** How long two engines are slowed, before the next two are. */
  private static final long SLOWED_MS = 60_000;

  private static final int MAX_TURNS = 67;

  /** Callers of long programs know that they are long and wait in proportion. */
  private static final double STRAGGLER_PATIENCE = 4;

  private static final long STRAGGLER_MIN_PATIENCE_MS = 120_000;

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

  /** Returns the time during which programs arrive. */
  long durationMs() {
    return durationMs;
  }

  long seed() {
    return seed;
  }

  abstract List<TeamPlan> teams();

  /** Returns the demand as a part of the capacity of all engines at full speed. */
  abstract double load(long timeMs);

  /** Returns whether an engine is slowed in a run with slowed engines. */
  boolean isSlowed(int engine, long timeMs) {
    return false;
  }

  /** Makes one program of the mix. */
  abstract ProgramPlan program(WorkloadRandom random, ProgramFrame frame);

  private static List<TurnPlan> urgentTurns(WorkloadRandom random) {
    return random.turns(random.between(1, 2), 30, 100, 200, 500);
  }

  private static ProgramPlan straggler(WorkloadRandom random, ProgramFrame frame) {
    int turnCount = (int) Math.min(MAX_TURNS, random.pareto(12, 1.2));
    List<TurnPlan> turns = random.turns(turnCount, 100, 400, 400, 1_500);
    double aloneMs = frame.plan(1, false, turns).aloneMs();
    long patienceMs = (long) Math.max(STRAGGLER_MIN_PATIENCE_MS, STRAGGLER_PATIENCE * aloneMs);
    return frame.plan(patienceMs, false, turns);
  }
}
