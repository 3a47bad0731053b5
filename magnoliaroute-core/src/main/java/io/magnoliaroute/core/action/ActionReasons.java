package io.magnoliaroute.core.action;

import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.program.Refusal;
import java.util.Optional;

/** Says which reason a caller gets for a refusal. */
final class ActionReasons {

  private ActionReasons() {}

  static ActionReason of(Refusal refusal) {
    return switch (refusal) {
      case PROGRAM_ENDED -> ActionReason.PROGRAM_ENDED;
      case PROGRAM_UNKNOWN -> ActionReason.PROGRAM_UNKNOWN;
      default -> ActionReason.NOT_OWNER;
    };
  }

  /** Returns why a program takes no further actions, or empty when it does. */
  static Optional<ActionReason> ofProgram(Optional<ProgramView> program) {
    if (program.isEmpty()) {
      return Optional.of(ActionReason.PROGRAM_UNKNOWN);
    }
    return program.get().live() ? Optional.empty() : Optional.of(ActionReason.PROGRAM_ENDED);
  }
}
