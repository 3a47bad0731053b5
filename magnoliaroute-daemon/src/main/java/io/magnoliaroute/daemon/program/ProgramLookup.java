package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.ProblemException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Finds programs for their teams, with the turns that are not read back yet. */
final class ProgramLookup {

  private static final int MAX_TREE_DEPTH = 64;

  private ProgramLookup() {}

  /** Returns the program of the request; a foreign one is answered as unknown. */
  static ProgramView require(PartitionCore held, CallerRequest request) throws ProblemException {
    ProgramView view = held.state().program(request.program()).orElse(null);
    boolean operator = request.field(CallerRequest.Fields.OPERATOR).isPresent();
    if (view == null || !(operator || view.team().equals(request.team()))) {
      throw unknown(request.program());
    }
    return view;
  }

  /** Returns the program of the request, which must not have ended. */
  static ProgramView requireLive(PartitionCore held, CallerRequest request)
      throws ProblemException {
    ProgramView view = require(held, request);
    if (!view.isLive()) {
      throw Problem.of(ProblemCode.PROGRAM_ENDED, "the program has ended").asException();
    }
    return view;
  }

  /** Returns the logged turns followed by those that are not read back yet. */
  static List<Turn> turns(PartitionCore held, ProgramView view) {
    List<Turn> turns = new ArrayList<>(view.turns());
    for (Turn turn : held.history().bufferedTurns(view.id())) {
      if (turn.number() == turns.size()) {
        turns.add(turn);
      }
    }
    return turns;
  }

  /** Returns the root of the program's tree. Sub-agents are in the partition of their parent. */
  static ProgramId root(PartitionCore held, ProgramView view) {
    ProgramView at = view;
    for (int depth = 0; depth < MAX_TREE_DEPTH && at.parent().isPresent(); depth++) {
      Optional<ProgramView> parent = held.state().program(at.parent().get());
      if (parent.isEmpty()) {
        return at.id();
      }
      at = parent.get();
    }
    return at.id();
  }

  /** Returns whether the program belongs to the team. */
  static boolean isOf(ProgramView view, TeamId team) {
    return view.team().equals(team);
  }

  static ProblemException unknown(ProgramId program) {
    return Problem.of(ProblemCode.UNKNOWN_PROGRAM, "no such program: " + program).asException();
  }
}
