package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.settings.UrgentRation;
import java.util.ArrayList;
import java.util.List;

/**
 * The programs of one run and their arrivals.
 *
 * @param kind the kind of workload
 * @param lengthPercent arrivals that were kept of the full length, in percent
 * @param programs the programs in order of arrival
 */
record Workload(WorkloadKind kind, int lengthPercent, List<ProgramPlan> programs) {

  private static final int SAMPLE_PROGRAMS = 4_000;
  private static final long FLOOD_CALLS_PER_SECOND = 20;
  private static final int PERCENT = 100;

  /** Makes the workload; the same arguments make the same programs. */
  static Workload generate(WorkloadKind kind, int lengthPercent, long seed) {
    double meanEngineMs = meanEngineMs(kind, seed);
    WorkloadRandom random = new WorkloadRandom(seed);
    List<ProgramPlan> programs = new ArrayList<>();
    double timeMs = 0;
    long endMs = kind.durationMs() * lengthPercent / PERCENT;
    while (true) {
      double gapMs = meanEngineMs / (kind.load((long) timeMs) * kind.engines());
      timeMs += random.exponential(gapMs);
      if (timeMs >= endMs) {
        return new Workload(kind, lengthPercent, List.copyOf(programs));
      }
      programs.add(kind.program(random, frame(kind, random, "p" + programs.size(), (long) timeMs)));
    }
  }

  /** Returns the workload with one more team that sends urgent work far past its ration. */
  Workload withUrgentFlood() {
    TeamPlan flooder = new TeamPlan(floodTeam().id(), 1, new UrgentRation(30, 5));
    WorkloadRandom random = new WorkloadRandom(kind.seed() + 1);
    List<ProgramPlan> all = new ArrayList<>(programs);
    long gapMs = 1_000 / FLOOD_CALLS_PER_SECOND;
    for (long time = WorkloadKind.SPIKE_START_MS; time < WorkloadKind.SPIKE_END_MS; time += gapMs) {
      ProgramFrame frame = frame(kind, random, "flood" + time, time);
      List<TurnPlan> turns = random.turns(1, 30, 100, 200, 500);
      all.add(
          new ProgramFrame(frame.id(), flooder, frame.dataCentre(), PriorityClass.URGENT, time)
              .plan(20_000, true, turns));
    }
    all.sort((a, b) -> Long.compare(a.arrivalMs(), b.arrivalMs()));
    return new Workload(kind, lengthPercent, List.copyOf(all));
  }

  /** Returns the team that floods. */
  static TeamPlan floodTeam() {
    return TeamPlan.of("flooder", 1);
  }

  /** Returns the demand of the programs that arrive in a span, as a part of the capacity. */
  double offeredLoad(long fromMs, long toMs) {
    double engineMs = 0;
    for (ProgramPlan program : programs) {
      if (program.arrivalMs() >= fromMs && program.arrivalMs() < toMs) {
        engineMs += program.engineMs();
      }
    }
    return engineMs / ((toMs - fromMs) * kind.engines());
  }

  private static double meanEngineMs(WorkloadKind kind, long seed) {
    WorkloadRandom random = new WorkloadRandom(seed);
    double sum = 0;
    for (int i = 0; i < SAMPLE_PROGRAMS; i++) {
      sum += kind.program(random, frame(kind, random, "sample" + i, 0)).engineMs();
    }
    return sum / SAMPLE_PROGRAMS;
  }

  private static ProgramFrame frame(
      WorkloadKind kind, WorkloadRandom random, String name, long timeMs) {
    List<TeamPlan> teams = kind.teams();
    TeamPlan team = teams.get(random.between(0, teams.size() - 1));
    DataCentreId dataCentre = dataCentre(random.between(0, kind.dataCentres() - 1));
    return new ProgramFrame(new ProgramId(name), team, dataCentre, PriorityClass.NORMAL, timeMs);
  }

  static DataCentreId dataCentre(int number) {
    return new DataCentreId("dc" + number);
  }
}
