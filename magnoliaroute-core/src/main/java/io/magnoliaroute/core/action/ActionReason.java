package io.magnoliaroute.core.action;

/** The reason for the outcome in an {@link ActionReply}. */
public enum ActionReason {
  /** The service responded, and its response is the result. */
  SERVICE_ANSWERED,
  /** The outcome was recorded for an earlier request with the same key. */
  RECORDED_BEFORE,
  /** The service refused the request, or the request was never sent to it. */
  SERVICE_DID_NOT_RUN,
  /** The response was lost, and it cannot be determined whether the action was executed. */
  ANSWER_LOST,
  /** The deadline passed before the action was sent. */
  DEADLINE_BEFORE_SEND,
  /** The deadline passed before the outcome was known. */
  DEADLINE_WHILE_OPEN,
  /** The committer of the log accepted no further records. */
  LOG_FULL,
  /** Another VM owns the program. */
  NOT_OWNER,
  /** No program with the given id exists. */
  PROGRAM_UNKNOWN,
  /** The program has ended. */
  PROGRAM_ENDED,
  /** The idempotency key was used by a request to another service or with different content. */
  KEY_OF_OTHER_REQUEST,
  /**
   * The request was not sent, but the log could not be read since the request arrived, so an
   * earlier request with the same key may have been executed.
   */
  KEY_NOT_VERIFIED
}
