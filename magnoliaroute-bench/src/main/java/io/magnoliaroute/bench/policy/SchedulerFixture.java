package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.schedule.EndpointSpec;
import io.magnoliaroute.core.schedule.GroupScheduler;
import io.magnoliaroute.core.schedule.SchedulerLimits;
import io.magnoliaroute.core.schedule.SchedulingPolicy;
import io.magnoliaroute.core.schedule.WaitingCall;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** A group scheduler with a given number of endpoints, for cost measurements. */
final class SchedulerFixture {

  static final int WINDOW_SLOTS = 16;

  private static final int TEAMS = 20;
  private static final int DATA_CENTRES = 3;
  private static final int MAX_WAITING_CALLS = 10_000_000;
  private static final long YEAR_MS = 365L * 24 * 3_600 * 1_000;
  private static final String MODEL = "agent";

  final GroupScheduler scheduler;

  private final int endpoints;
  private final SplittableRandom random = new SplittableRandom(7);
  private long lastProgram;

  SchedulerFixture(int endpoints) {
    this.endpoints = endpoints;
    SchedulerLimits defaults = SchedulerLimits.defaults();
    this.scheduler =
        new GroupScheduler(
            SchedulingPolicy.PROGRAM_LEAST_ATTAINED,
            new SchedulerLimits(
                defaults.ageingBoundMs(),
                defaults.escapeInterval(),
                YEAR_MS,
                MAX_WAITING_CALLS,
                defaults.deadlineMarginPercent(),
                YEAR_MS));
    for (int i = 0; i < endpoints; i++) {
      scheduler.putEndpoint(
          new EndpointSpec(endpoint(i), dataCentre(i), WINDOW_SLOTS, 1, Set.of(MODEL), false));
    }
  }

  /**
   * Offers calls of running programs, so that admission accepts them.
   *
   * @throws IllegalStateException if a call is refused
   */
  void offer(int count, long nowMs) {
    for (int i = 0; i < count; i++) {
      WaitingCall call = newCall(nowMs);
      if (!scheduler.offer(call, nowMs).isAccepted()) {
        throw new IllegalStateException("call refused by admission: " + call.id());
      }
    }
  }

  private WaitingCall newCall(long nowMs) {
    ProgramId program = new ProgramId(String.format("%032x", ++lastProgram));
    TeamId team = new TeamId("team" + random.nextInt(TEAMS));
    PriorityClass priority = random.nextInt(5) == 0 ? PriorityClass.BULK : PriorityClass.NORMAL;
    int promptTokens = random.nextInt(500, 20_000);
    return WaitingCall.builder(new CallId(program, 1, 0), team, dataCentre(random.nextInt(3)))
        .priority(priority)
        .times(nowMs, nowMs + YEAR_MS)
        .prompt(promptTokens, Map.of(endpoint(random.nextInt(endpoints)), promptTokens - 200))
        .attainedServiceUnits(random.nextInt(4_000))
        .underWay(true)
        .model(MODEL)
        .idempotent(true)
        .build();
  }

  private static EndpointId endpoint(int number) {
    return new EndpointId("engine-" + number);
  }

  private static DataCentreId dataCentre(int number) {
    return Workload.dataCentre(number % DATA_CENTRES);
  }
}
