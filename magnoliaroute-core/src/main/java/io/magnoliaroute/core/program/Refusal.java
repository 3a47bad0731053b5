package io.magnoliaroute.core.program;

/** Why a record of a program stream has no effect. */
public enum Refusal {
  /** The epoch is not the one in force, or the writer does not hold the claim in force. */
  STALE_EPOCH,
  /** The program is not known in this partition. */
  PROGRAM_UNKNOWN,
  /** The program has ended. */
  PROGRAM_ENDED,
  /** A program of this id exists already. */
  PROGRAM_EXISTS,
  /** The turn number is not the next one. */
  TURN_OUT_OF_ORDER,
  /** A turn came that the writer of a lapse did not know of. */
  TURNS_ADDED,
  /** The parent is not known in this partition. */
  PARENT_UNKNOWN,
  /** The parent has ended. */
  PARENT_ENDED,
  /** The parent belongs to another team. */
  PARENT_OF_OTHER_TEAM,
  /** Another intent holds the key. */
  KEY_USED,
  /** The intent that the record names does not hold its key. */
  INTENT_NOT_LIVE,
  /** The intent has an outcome already. */
  OUTCOME_KNOWN,
  /** The writer is neither the one of the intent nor the owner. */
  NOT_THE_WRITER
}
