package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.UrgentRation;
import java.util.Map;
import java.util.Set;

/** Factory methods for schedulers, endpoints, calls and results in tests. */
final class SchedulerFixture {

  static final DataCentreId LOCAL = new DataCentreId("dc0");
  static final DataCentreId REMOTE = new DataCentreId("dc1");
  static final UrgentRation RATION = new UrgentRation(60, 2);
  static final long FAR_DEADLINE_MS = 600_000;

  private SchedulerFixture() {}

  static GroupScheduler scheduler(EndpointSpec... endpoints) {
    GroupScheduler scheduler =
        new GroupScheduler(SchedulingPolicy.PROGRAM_LEAST_ATTAINED, SchedulerLimits.defaults());
    for (EndpointSpec endpoint : endpoints) {
      scheduler.putEndpoint(endpoint);
    }
    return scheduler;
  }

  static EndpointSpec endpoint(String id, int windowSlots, int urgentReservedSlots) {
    return endpoint(id, LOCAL, windowSlots, urgentReservedSlots);
  }

  static EndpointSpec endpoint(String id, DataCentreId dataCentre, int window, int reserved) {
    return new EndpointSpec(new EndpointId(id), dataCentre, window, reserved, Set.of("m"), false);
  }

  static WaitingCall.Builder call(String program) {
    return call(program, "team");
  }

  static WaitingCall.Builder call(String program, String team) {
    return WaitingCall.builder(id(program), new TeamId(team), LOCAL)
        .times(0, FAR_DEADLINE_MS)
        .urgentRation(RATION)
        .model("m")
        .idempotent(true);
  }

  static WaitingCall call(String program, PriorityClass priority) {
    return call(program).priority(priority).build();
  }

  static WaitingCall cachedAt(String program, String endpoint, int promptTokens) {
    return call(program)
        .prompt(promptTokens, Map.of(new EndpointId(endpoint), promptTokens))
        .build();
  }

  static CallId id(String program) {
    return new CallId(new ProgramId(program), 0, 0);
  }

  static CallResult completed(SlotGrant grant) {
    return new CallResult(grant.grantId(), CallEnding.COMPLETED, 0, 50, 100, 2_000);
  }

  static CallResult ended(SlotGrant grant, CallEnding ending) {
    return CallResult.withoutTokens(grant.grantId(), ending);
  }
}
