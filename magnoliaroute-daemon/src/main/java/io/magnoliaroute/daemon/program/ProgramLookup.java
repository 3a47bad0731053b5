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

/** Looks up programs and their turns, including turns not yet read back from the log. */
final class ProgramLookup {

  private static final int MAX_TREE_DEPTH = 64;

  private ProgramLookup() {}

  /**
   * Returns the program of the request.
   *
   * @throws ProblemException if the program does not exist, or belongs to another team and the
   *     request is not from an operator; both cases report an unknown program
   */
  static ProgramView require(PartitionCore core, CallerRequest request) throws ProblemException {
    ProgramView view = core.state().program(request.program()).orElse(null);
    boolean operator = request.field(CallerRequest.Fields.OPERATOR).isPresent();
    if (view == null || !(operator || view.team().equals(request.team()))) {
      throw unknownProgram(request.program());
    }
    return view;
  }

  /**
   * Returns the program of the request.
   *
   * @throws ProblemException if the program is unknown or has ended
   */
  static ProgramView requireLive(PartitionCore core, CallerRequest request)
      throws ProblemException {
    ProgramView view = require(core, request);
    if (!view.isLive()) {
      throw Problem.of(ProblemCode.PROGRAM_ENDED, "the program has ended").asException();
    }
    return view;
  }

  /** Returns the logged turns, followed by the turns not yet read back from the log. */
  static List<Turn> turns(PartitionCore core, ProgramView view) {
    List<Turn> turns = new ArrayList<>(view.turns());
    for (Turn turn : core.history().bufferedTurns(view.id())) {
      if (turn.number() == turns.size()) {
        turns.add(turn);
      }
    }
    return turns;
  }

  /**
   * Returns the root of the program's tree. A sub-agent is in the partition of its parent, so the
   * state of one partition contains the whole tree.
   */
  static ProgramId root(PartitionCore core, ProgramView view) {
    ProgramView ancestor = view;
    for (int depth = 0; depth < MAX_TREE_DEPTH && ancestor.parent().isPresent(); depth++) {
      Optional<ProgramView> parent = core.state().program(ancestor.parent().get());
      if (parent.isEmpty()) {
        return ancestor.id();
      }
      ancestor = parent.get();
    }
    return ancestor.id();
  }

  static boolean belongsTo(ProgramView view, TeamId team) {
    return view.team().equals(team);
  }

  static ProblemException unknownProgram(ProgramId program) {
    return Problem.of(ProblemCode.UNKNOWN_PROGRAM, "no such program: " + program).asException();
  }
}
