package io.magnoliaroute.core.action;

/** Why a reply carries its outcome. */
public enum ActionReason {
  /** The service answered, and the answer is the result. */
  SERVICE_ANSWERED,
  /** The outcome was recorded for an earlier request with the same key. */
  RECORDED_BEFORE,
  /** The service refused the request or was never reached. */
  SERVICE_DID_NOT_RUN,
  /** The answer was lost, and nothing shows whether the action ran. */
  ANSWER_LOST,
  /** The deadline passed before the action was sent. */
  DEADLINE_BEFORE_SEND,
  /** The deadline passed while the outcome was open. */
  DEADLINE_WHILE_OPEN,
  /** The log takes no more records. */
  LOG_FULL,
  /** Another VM owns the program. */
  NOT_OWNER,
  /** The program is not known. */
  PROGRAM_UNKNOWN,
  /** The program has ended. */
  PROGRAM_ENDED,
  /** The key belongs to a request with other content. */
  KEY_OF_OTHER_REQUEST,
  /**
   * The request was not sent, but the log could not be read since it arrived, so that an earlier
   * request with the same key may have run.
   */
  KEY_NOT_VERIFIED
}
