package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.program.RecordRefusal;
import io.magnoliaroute.core.program.TurnConflict;
import io.magnoliaroute.core.program.Verdict;

/**
 * A record that was read back from the log.
 *
 * @param offset its offset, -1 for a turn that another record kept out
 * @param verdict what the rules decided
 */
public record Applied(long offset, Verdict verdict) {

  static Applied conflict(TurnConflict conflict) {
    RecordRefusal reason =
        conflict.kind() == TurnConflict.Kind.PROGRAM_ENDED
            ? RecordRefusal.PROGRAM_ENDED
            : RecordRefusal.TURN_OUT_OF_ORDER;
    return new Applied(-1, new Verdict.Refused(reason));
  }

  /** Returns whether the record took effect. */
  public boolean accepted() {
    return verdict.isAccepted();
  }
}
