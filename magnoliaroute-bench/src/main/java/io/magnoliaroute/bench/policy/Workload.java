package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.settings.UrgentRation;
import java.util.ArrayList;
import java.util.List;

/**
 * The programs of a simulation and their arrival times.
 *
 * @param kind the kind of workload
 * @param lengthPercent time span of the arrivals in percent of the full length
 * @param programs the programs in order of arrival
 */
record Workload(WorkloadKind kind, int lengthPercent, List<ProgramSpec> programs) {

  private static final int MEAN_SAMPLE_PROGRAMS = 4_000;
  private static final long FLOOD_PROGRAMS_PER_SECOND = 20;
  private static final int FULL_PERCENT = 100;

  /** Generates a workload with Poisson arrivals; equal arguments give equal programs. */
  static Workload generate(WorkloadKind kind, int lengthPercent, long seed) {
    double meanEngineTimeMs = meanEngineTimeMs(kind, seed);
    WorkloadSampler sampler = new WorkloadSampler(seed);
    List<ProgramSpec> programs = new ArrayList<>();
    double timeMs = 0;
    long endMs = kind.durationMs() * lengthPercent / FULL_PERCENT;
    while (true) {
      double meanIntervalMs = meanEngineTimeMs / (kind.offeredLoad((long) timeMs) * kind.engines());
      timeMs += sampler.exponential(meanIntervalMs);
      if (timeMs >= endMs) {
        return new Workload(kind, lengthPercent, List.copyOf(programs));
      }
      programs.add(
          kind.sampleProgram(
              sampler, sampleArrival(kind, sampler, "p" + programs.size(), (long) timeMs)));
    }
  }

  /** Returns this workload with an extra team whose urgent calls far exceed its rate limit. */
  Workload withUrgentFlood() {
    TeamSpec floodTeam = new TeamSpec(floodTeam().id(), 1, new UrgentRation(30, 5));
    WorkloadSampler sampler = new WorkloadSampler(kind.seed() + 1);
    List<ProgramSpec> allPrograms = new ArrayList<>(programs);
    long intervalMs = 1_000 / FLOOD_PROGRAMS_PER_SECOND;
    for (long arrivalMs = WorkloadKind.SPIKE_START_MS;
        arrivalMs < WorkloadKind.SPIKE_END_MS;
        arrivalMs += intervalMs) {
      ProgramArrival arrival = sampleArrival(kind, sampler, "flood" + arrivalMs, arrivalMs);
      List<TurnSpec> turns = sampler.sampleTurns(1, 30, 100, 200, 500);
      allPrograms.add(
          new ProgramArrival(
                  arrival.id(), floodTeam, arrival.dataCentre(), PriorityClass.URGENT, arrivalMs)
              .toProgram(20_000, true, turns));
    }
    allPrograms.sort((a, b) -> Long.compare(a.arrivalMs(), b.arrivalMs()));
    return new Workload(kind, lengthPercent, List.copyOf(allPrograms));
  }

  /** Returns the team that sends the flood of urgent calls. */
  static TeamSpec floodTeam() {
    return TeamSpec.of("flooder", 1);
  }

  /** Returns the demand of the programs that arrive in a time span as a fraction of capacity. */
  double offeredLoad(long fromMs, long toMs) {
    double engineTimeMs = 0;
    for (ProgramSpec program : programs) {
      if (program.arrivalMs() >= fromMs && program.arrivalMs() < toMs) {
        engineTimeMs += program.engineTimeMs();
      }
    }
    return engineTimeMs / ((toMs - fromMs) * kind.engines());
  }

  private static double meanEngineTimeMs(WorkloadKind kind, long seed) {
    WorkloadSampler sampler = new WorkloadSampler(seed);
    double sum = 0;
    for (int i = 0; i < MEAN_SAMPLE_PROGRAMS; i++) {
      sum +=
          kind.sampleProgram(sampler, sampleArrival(kind, sampler, "sample" + i, 0)).engineTimeMs();
    }
    return sum / MEAN_SAMPLE_PROGRAMS;
  }

  private static ProgramArrival sampleArrival(
      WorkloadKind kind, WorkloadSampler sampler, String name, long timeMs) {
    List<TeamSpec> teams = kind.teams();
    TeamSpec team = teams.get(sampler.between(0, teams.size() - 1));
    DataCentreId dataCentre = dataCentre(sampler.between(0, kind.dataCentres() - 1));
    return new ProgramArrival(new ProgramId(name), team, dataCentre, PriorityClass.NORMAL, timeMs);
  }

  static DataCentreId dataCentre(int number) {
    return new DataCentreId("dc" + number);
  }
}
