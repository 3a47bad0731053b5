package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.program.RecordRefusal;
import io.magnoliaroute.core.program.TurnConflict;
import io.magnoliaroute.core.program.Verdict;

/**
 * The result of an append: the verdict on a record that was read back from the log.
 *
 * @param offset the record's offset, -1 for a turn that conflicts with the program's history
 * @param verdict the partition state's verdict on the record
 */
public record AppendResult(long offset, Verdict verdict) {

  /** Returns the result for a turn that conflicts with the program's history. */
  static AppendResult ofConflict(TurnConflict conflict) {
    RecordRefusal reason =
        conflict.kind() == TurnConflict.Kind.PROGRAM_ENDED
            ? RecordRefusal.PROGRAM_ENDED
            : RecordRefusal.TURN_OUT_OF_ORDER;
    return new AppendResult(-1, new Verdict.Refused(reason));
  }

  /** Returns whether the record was accepted and therefore changed the partition's state. */
  public boolean isAccepted() {
    return verdict.isAccepted();
  }
}
