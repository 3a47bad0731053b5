package io.magnoliaroute.core.action;

import io.magnoliaroute.core.program.Refusal;

/** Says which reason a caller gets for a refused intent. */
final class ActionReasons {

  private ActionReasons() {}

  static ActionReason of(Refusal refusal) {
    return switch (refusal) {
      case PROGRAM_ENDED -> ActionReason.PROGRAM_ENDED;
      case PROGRAM_UNKNOWN -> ActionReason.PROGRAM_UNKNOWN;
      default -> ActionReason.NOT_OWNER;
    };
  }
}
