package io.magnoliaroute.core.action;

import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.program.RecordRefusal;
import java.util.Optional;

/** Maps refusals and program states to the {@link ActionReason} that is returned to the caller. */
final class ActionReasons {

  private ActionReasons() {}

  /** Returns the reason for an intent record that was refused. */
  static ActionReason forRefusal(RecordRefusal refusal) {
    return switch (refusal) {
      case PROGRAM_ENDED -> ActionReason.PROGRAM_ENDED;
      case PROGRAM_UNKNOWN -> ActionReason.PROGRAM_UNKNOWN;
      default -> ActionReason.NOT_OWNER;
    };
  }

  /** Returns the reason why a program accepts no further actions, or empty if it accepts them. */
  static Optional<ActionReason> forProgram(Optional<ProgramView> program) {
    if (program.isEmpty()) {
      return Optional.of(ActionReason.PROGRAM_UNKNOWN);
    }
    return program.get().isLive() ? Optional.empty() : Optional.of(ActionReason.PROGRAM_ENDED);
  }
}
