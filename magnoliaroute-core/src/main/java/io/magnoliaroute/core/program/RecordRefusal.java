package io.magnoliaroute.core.program;

/** The reason for which a record of a program stream was refused. */
public enum RecordRefusal {
  /** The record's epoch is not the current one, or its writer does not hold the current claim. */
  STALE_EPOCH,
  /** The partition has no such program. */
  PROGRAM_UNKNOWN,
  /** The program has ended. */
  PROGRAM_ENDED,
  /** A program with this id already exists. */
  PROGRAM_EXISTS,
  /** The turn number is not the next one. */
  TURN_OUT_OF_ORDER,
  /**
   * An end with reason {@link EndReason#LAPSED} was written without knowledge of the latest turn.
   */
  TURNS_ADDED,
  /** The partition has no such parent program. */
  PARENT_UNKNOWN,
  /** The parent program has ended. */
  PARENT_ENDED,
  /** The parent program belongs to another team. */
  PARENT_OF_OTHER_TEAM,
  /** Another intent already holds the action key. */
  KEY_USED,
  /** The referenced intent does not hold its action key. */
  INTENT_NOT_LIVE,
  /** The intent already has an outcome. */
  OUTCOME_KNOWN,
  /**
   * The writer is not permitted: outcomes are accepted from the writer of the intent and from the
   * owner, abandonments only from the writer of the intent.
   */
  NOT_THE_WRITER
}
