package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.gateway.admission.AdmissionRequest;
import io.magnoliaroute.core.gateway.admission.AdmissionVerdict;
import io.magnoliaroute.core.gateway.admission.ReportedOccupancy;
import io.magnoliaroute.core.gateway.admission.ServiceAdmission;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * Plays a demand peak of programs of 3 and 7 turns on a simulated fleet, with and without admission
 * decisions, and counts what clients get.
 */
final class OverloadSimulation extends PlacementSimulation {

  private static final double PEAK_FROM_MS = 3_000;
  private static final double PEAK_MS = 3_000;
  private static final double END_MS = 10_000;
  private static final double MEASURE_FROM_MS = 1_000;
  private static final double BASE_LOAD = 0.7;
  private static final long DEADLINE_MS = 3_185;
  private static final long TARGET_LATENCY_MS = 212;
  private static final double REPORT_INTERVAL_MS = 50;
  private static final double REPORT_AGE_MS = 100;
  private static final int RESENDS = 2;

  private final boolean decides;
  private final SplittableRandom loadRandom;
  private final SplittableRandom draws = new SplittableRandom(5);
  private final Map<Vm, ServiceAdmission> admissions = new HashMap<>();
  private final Map<Turn, Program> open = new HashMap<>();
  private final List<Program> programs = new ArrayList<>();
  private final int workspaces;
  private int refusals;
  private double slowestRefusalMs;

  /** A kind of programs. */
  enum Kind {
    SHORT(3, 1.6, 3, 0.3, 60.5),
    LONG(7, 1.4, 10, 1, 31.2);

    private final int turns;
    private final double targetFactor;
    private final double worth;
    private final double lateWorth;
    private final double perS;

    Kind(int turns, double targetFactor, double worth, double lateWorth, double perS) {
      this.turns = turns;
      this.targetFactor = targetFactor;
      this.worth = worth;
      this.lateWorth = lateWorth;
      this.perS = perS;
    }

    private double targetMs(double turnMs) {
      return targetFactor * (turns * turnMs + (turns - 1) * THINK_MS);
    }
  }

  /** A program as its client sees it. */
  private final class Program {
    private final Kind kind;
    private final int workspace;
    private final int shared = (int) (SHARED_PREFIXES * Math.pow(random.nextDouble(), PREFIX_SKEW));
    private final String id = "p" + programs.size();
    private final double startMs = nowMs;
    private int turn;
    private int resends;
    private double turnDeadlineMs;
    private double doneMs = -1;

    private Program(Kind kind, int workspace) {
      this.kind = kind;
      this.workspace = workspace;
    }

    private double targetMs() {
      return kind.targetMs(OUTPUT_TOKENS * (STEP_MS + STEP_MS_PER_SLOT) + prefillMs());
    }

    private boolean isInTime() {
      return doneMs >= 0 && doneMs - startMs <= targetMs();
    }

    private double worth() {
      return isInTime() ? kind.worth : doneMs >= 0 ? kind.lateWorth : 0;
    }

    private void beginTurn() {
      turnDeadlineMs = nowMs + DEADLINE_MS;
      send();
    }

    private void send() {
      Turn attempt = new Turn(vms.get(random.nextInt(vms.size())), id, shared, turn);
      if (!decides) {
        run(attempt);
        return;
      }
      AdmissionRequest request = request();
      ServiceAdmission admission = admissions.get(attempt.vm);
      admission.recordArrival(request, (long) nowMs);
      decide(attempt, request, admission);
    }

    private AdmissionRequest request() {
      return new AdmissionRequest(
          "llm",
          "chat",
          "w" + workspace,
          0,
          turn == 0,
          TARGET_LATENCY_MS,
          prefillMs(),
          (long) nowMs,
          (long) turnDeadlineMs,
          OptionalLong.of((long) (startMs + targetMs())),
          // The budget allows one turn more than the program needs.
          kind.turns - turn + 1L,
          draws.nextDouble());
    }

    private void decide(Turn attempt, AdmissionRequest request, ServiceAdmission admission) {
      AdmissionVerdict verdict = admission.decide(request, (long) nowMs);
      switch (verdict.kind()) {
        case SERVE -> run(attempt);
        case WAIT -> after(20, () -> decide(attempt, request, admission));
        default -> {
          refusals++;
          slowestRefusalMs = Math.max(slowestRefusalMs, nowMs - request.arrivedMs());
          retry(verdict.retryAfterMs());
        }
      }
    }

    private void retry(long retryAfterMs) {
      double leftMs = turnDeadlineMs - nowMs;
      if (leftMs < 2 * TARGET_LATENCY_MS) {
        resend();
      } else {
        after(Math.min((double) retryAfterMs, leftMs / 3), this::send);
      }
    }

    private void resend() {
      if (resends++ < RESENDS) {
        after(100 + 300 * random.nextDouble(), this::beginTurn);
      }
    }

    private void run(Turn attempt) {
      open.put(attempt, this);
      attempt.send();
      after(
          turnDeadlineMs - nowMs,
          () -> {
            if (open.remove(attempt) != null) {
              attempt.engine.cancel(attempt);
              resend();
            }
          });
    }

    private void completeTurn() {
      turn++;
      resends = 0;
      if (turn == kind.turns) {
        doneMs = nowMs;
      } else {
        after(THINK_MS, this::beginTurn);
      }
    }
  }

  OverloadSimulation(Fleet fleet, boolean decides, int workspaces, long seed) {
    super(fleet);
    this.decides = decides;
    this.workspaces = workspaces;
    this.loadRandom = new SplittableRandom(seed);
  }

  private double prefillMs() {
    return fleet.ownTokensPerTurn() / fleet.prefillTokensPerMs();
  }

  @Override
  void onCompleted(Turn turn) {
    Program program = open.remove(turn);
    if (program != null) {
      program.completeTurn();
    }
  }

  /** Plays a peak of the given number of turns per second, in units of the capacity. */
  void play(double peak, double capacityPerS) {
    createFleet();
    for (Vm vm : vms) {
      admissions.put(
          vm, new ServiceAdmission(new ReportedOccupancy(vm.directory, vm.loads), vm.times));
    }
    for (double atMs = 0; atMs < 2 * END_MS; atMs += REPORT_INTERVAL_MS) {
      after(atMs, this::sendReports);
    }
    for (Kind kind : Kind.values()) {
      double share = kind.perS / (60.5 * 3 + 31.2 * 7);
      for (double atMs = 0; atMs < END_MS; ) {
        boolean inPeak = atMs >= PEAK_FROM_MS && atMs < PEAK_FROM_MS + PEAK_MS;
        double perMs = share * capacityPerS * (inPeak ? peak : BASE_LOAD) / 1_000;
        atMs += -Math.log(1 - loadRandom.nextDouble()) / perMs;
        int workspace = drawWorkspace();
        after(
            atMs,
            () -> {
              Program program = new Program(kind, workspace);
              programs.add(program);
              program.beginTurn();
            });
      }
    }
    runEvents();
  }

  // The first workspace sends 7.5 times as much as each of the others.
  private int drawWorkspace() {
    double drawn = loadRandom.nextDouble() * (workspaces - 1 + 7.5);
    return drawn < 7.5 ? 0 : 1 + (int) (drawn - 7.5);
  }

  private void sendReports() {
    for (Engine engine : engines) {
      EndpointLoadTracker.Report report = engine.report();
      after(
          REPORT_AGE_MS,
          () -> vms.forEach(vm -> vm.loads.recordReport(engine.entry.id(), report, (long) nowMs)));
    }
  }

  /** What the clients of the programs got that match the condition. */
  Outcome outcome(BiPredicate<Kind, Integer> matches) {
    List<Program> counted =
        programs.stream()
            .filter(p -> p.startMs >= MEASURE_FROM_MS && matches.test(p.kind, p.workspace))
            .toList();
    int inTime = (int) counted.stream().filter(Program::isInTime).count();
    int done = (int) counted.stream().filter(p -> p.doneMs >= 0).count();
    int lost = (int) counted.stream().filter(p -> p.doneMs < 0 && p.turn > 0).count();
    double worth = counted.stream().mapToDouble(Program::worth).sum();
    return new Outcome(counted.size(), inTime, done - inTime, lost, worth);
  }

  Outcome outcome() {
    return outcome((kind, workspace) -> true);
  }

  int refusals() {
    return refusals;
  }

  double slowestRefusalMs() {
    return slowestRefusalMs;
  }

  /**
   * What clients got.
   *
   * @param programs number of programs
   * @param inTime programs that ended by their target
   * @param late programs that ended later
   * @param lost programs that failed after their first turn
   * @param worth the sum of what the programs were worth to their clients
   */
  record Outcome(int programs, int inTime, int late, int lost, double worth) {
    int failedUnstarted() {
      return programs - inTime - late - lost;
    }

    double inTimeShare() {
      return (double) inTime / programs;
    }
  }
}
