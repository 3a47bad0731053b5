package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import java.util.List;

/** The parts of a program plan that do not depend on its kind. */
record ProgramFrame(
    ProgramId id, TeamPlan team, DataCentreId dataCentre, PriorityClass priority, long arrivalMs) {

  ProgramFrame withClass(PriorityClass other) {
    return new ProgramFrame(id, team, dataCentre, other, arrivalMs);
  }

  ProgramPlan plan(long patienceMs, boolean isShort, List<TurnPlan> turns) {
    return new ProgramPlan(
        id, team, priority, dataCentre, arrivalMs, patienceMs, isShort, List.copyOf(turns));
  }
}
