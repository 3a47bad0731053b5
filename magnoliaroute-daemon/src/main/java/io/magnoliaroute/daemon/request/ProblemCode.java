package io.magnoliaroute.daemon.request;

import io.magnoliaroute.core.model.Outcome;

/** The stable codes of problem documents, each with its status and outcome. */
public enum ProblemCode {
  /** The body or a field of the request is not valid. */
  INVALID_REQUEST("invalid_request", 400, Outcome.NOT_RUN),
  /** The token is missing or not known. */
  UNAUTHENTICATED("unauthenticated", 401, Outcome.NOT_RUN),
  /** The team's tool rules do not allow the operation. */
  OPERATION_NOT_ALLOWED("operation_not_allowed", 403, Outcome.NOT_RUN),
  /** There is no such path. */
  UNKNOWN_PATH("unknown_path", 404, Outcome.NOT_RUN),
  /** The team has no such program. */
  UNKNOWN_PROGRAM("unknown_program", 404, Outcome.NOT_RUN),
  /** No pool serves the model or service. */
  UNKNOWN_POOL("unknown_pool", 404, Outcome.NOT_RUN),
  /** There is no such branch, endpoint or other object. */
  UNKNOWN_OBJECT("unknown_object", 404, Outcome.NOT_RUN),
  /** The program has ended. */
  PROGRAM_ENDED("program_ended", 409, Outcome.NOT_RUN),
  /** Another turn of the program is running. */
  TURN_IN_PROGRESS("turn_in_progress", 409, Outcome.NOT_RUN),
  /** The turn number is not the next one. */
  TURN_OUT_OF_ORDER("turn_out_of_order", 409, Outcome.NOT_RUN),
  /** The turn was completed with another request. */
  TURN_CONFLICT("turn_conflict", 409, Outcome.NOT_RUN),
  /** The idempotency key was used with another request. */
  KEY_CONFLICT("key_conflict", 409, Outcome.NOT_RUN),
  /** The branch has another version than the base. */
  CONFIG_CONFLICT("config_conflict", 409, Outcome.NOT_RUN),
  /** The body is longer than the limit. */
  BODY_TOO_LARGE("body_too_large", 413, Outcome.NOT_RUN),
  /** The branch has findings. */
  CONFIG_FINDINGS("config_findings", 422, Outcome.NOT_RUN),
  /** The request crashed endpoints and is refused for a time. */
  REQUEST_QUARANTINED("request_quarantined", 422, Outcome.NOT_RUN),
  /** A limit of the team on turns, tokens or repeats was reached. */
  PROGRAM_LIMIT("program_limit", 429, Outcome.NOT_RUN),
  /** The budget of the team's period does not cover the call. */
  BUDGET_EXHAUSTED("budget_exhausted", 429, Outcome.NOT_RUN),
  /** The scheduler refused the call. */
  OVERLOADED("overloaded", 503, Outcome.NOT_RUN),
  /** The deadline passed before the call ran. */
  DEADLINE_PASSED("deadline_passed", 503, Outcome.NOT_RUN),
  /** The VM is stopping. */
  STOPPING("stopping", 503, Outcome.NOT_RUN),
  /** The VM has no settings yet. */
  NOT_READY("not_ready", 503, Outcome.NOT_RUN),
  /** The platform's log does not answer and the request needs it. */
  LOG_UNAVAILABLE("log_unavailable", 503, Outcome.NOT_RUN),
  /** Too much history of this VM or program is unlogged. */
  UNLOGGED_LIMIT("unlogged_limit", 503, Outcome.NOT_RUN),
  /** The partition has no owner that can be reached. */
  OWNER_UNREACHABLE("owner_unreachable", 503, Outcome.NOT_RUN),
  /** No endpoint could be reached; the call was not sent. */
  ENDPOINT_UNREACHABLE("endpoint_unreachable", 502, Outcome.NOT_RUN),
  /** The endpoint failed after the call was sent. */
  ENDPOINT_FAILED("endpoint_failed", 502, Outcome.UNKNOWN),
  /** The partition moved to another owner while the request ran. */
  OWNER_CHANGED("owner_changed", 503, Outcome.UNKNOWN),
  /** It is not known whether the action took effect; it will not be sent again. */
  OUTCOME_UNKNOWN("outcome_unknown", 504, Outcome.UNKNOWN),
  /** A fault of this VM; what ran is not known. */
  INTERNAL("internal", 500, Outcome.UNKNOWN);

  private final String code;
  private final int status;
  private final Outcome outcome;

  ProblemCode(String code, int status, Outcome outcome) {
    this.code = code;
    this.status = status;
    this.outcome = outcome;
  }

  /** Returns the stable code. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns what the code says of the request. */
  public Outcome outcome() {
    return outcome;
  }
}
