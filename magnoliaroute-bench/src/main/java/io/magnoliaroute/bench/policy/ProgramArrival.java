package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import java.util.List;

/** The arrival of a program: the properties that do not depend on the kind of the program. */
record ProgramArrival(
    ProgramId id, TeamSpec team, DataCentreId dataCentre, PriorityClass priority, long arrivalMs) {

  ProgramArrival withPriority(PriorityClass newPriority) {
    return new ProgramArrival(id, team, dataCentre, newPriority, arrivalMs);
  }

  ProgramSpec toProgram(long timeoutMs, boolean isShort, List<TurnSpec> turns) {
    return new ProgramSpec(
        id, team, priority, dataCentre, arrivalMs, timeoutMs, isShort, List.copyOf(turns));
  }
}
