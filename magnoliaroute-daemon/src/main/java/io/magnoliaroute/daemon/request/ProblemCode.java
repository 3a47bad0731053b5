package io.magnoliaroute.daemon.request;

import io.magnoliaroute.core.model.Outcome;

/** The stable codes of problem documents, each with its HTTP status and outcome. */
public enum ProblemCode {
  /** The body or a field of the request is not valid. */
  INVALID_REQUEST("invalid_request", 400, Outcome.NOT_RUN),
  /** The token is missing or unknown. */
  UNAUTHENTICATED("unauthenticated", 401, Outcome.NOT_RUN),
  /** The team's tool rules do not allow the operation. */
  OPERATION_NOT_ALLOWED("operation_not_allowed", 403, Outcome.NOT_RUN),
  /** The path does not exist. */
  UNKNOWN_PATH("unknown_path", 404, Outcome.NOT_RUN),
  /** The team has no program with this id. */
  UNKNOWN_PROGRAM("unknown_program", 404, Outcome.NOT_RUN),
  /** No pool serves the model or service. */
  UNKNOWN_POOL("unknown_pool", 404, Outcome.NOT_RUN),
  /** The branch, endpoint or other object does not exist. */
  UNKNOWN_OBJECT("unknown_object", 404, Outcome.NOT_RUN),
  /** The program has ended. */
  PROGRAM_ENDED("program_ended", 409, Outcome.NOT_RUN),
  /** Another turn of the program is running. */
  TURN_IN_PROGRESS("turn_in_progress", 409, Outcome.NOT_RUN),
  /** The turn number is not the next expected one. */
  TURN_OUT_OF_ORDER("turn_out_of_order", 409, Outcome.NOT_RUN),
  /** The turn was already completed with a different request. */
  TURN_CONFLICT("turn_conflict", 409, Outcome.NOT_RUN),
  /** The idempotency key was already used with a different request. */
  KEY_CONFLICT("key_conflict", 409, Outcome.NOT_RUN),
  /** The version of the branch differs from the base version of the change. */
  CONFIG_CONFLICT("config_conflict", 409, Outcome.NOT_RUN),
  /** The body exceeds the size limit. */
  BODY_TOO_LARGE("body_too_large", 413, Outcome.NOT_RUN),
  /** Validation of the branch reported findings. */
  CONFIG_FINDINGS("config_findings", 422, Outcome.NOT_RUN),
  /** The request has crashed endpoints and is rejected for a limited time. */
  REQUEST_QUARANTINED("request_quarantined", 422, Outcome.NOT_RUN),
  /** A team limit on turns, tokens or repeated requests was reached. */
  PROGRAM_LIMIT("program_limit", 429, Outcome.NOT_RUN),
  /** The remaining budget of the team for the period does not cover the call. */
  BUDGET_EXHAUSTED("budget_exhausted", 429, Outcome.NOT_RUN),
  /** The scheduler rejected the call. */
  OVERLOADED("overloaded", 503, Outcome.NOT_RUN),
  /** The deadline expired before the call was run. */
  DEADLINE_PASSED("deadline_passed", 503, Outcome.NOT_RUN),
  /** The VM is stopping. */
  STOPPING("stopping", 503, Outcome.NOT_RUN),
  /** The VM has not loaded its settings yet. */
  NOT_READY("not_ready", 503, Outcome.NOT_RUN),
  /** The request requires the platform's log, which does not respond. */
  LOG_UNAVAILABLE("log_unavailable", 503, Outcome.NOT_RUN),
  /** The unlogged history of this VM or program exceeds its limit. */
  UNLOGGED_LIMIT("unlogged_limit", 503, Outcome.NOT_RUN),
  /** The owner of the partition is not reachable. */
  OWNER_UNREACHABLE("owner_unreachable", 503, Outcome.NOT_RUN),
  /** No endpoint could be reached; the call was not sent. */
  ENDPOINT_UNREACHABLE("endpoint_unreachable", 502, Outcome.NOT_RUN),
  /** The endpoint failed after the call was sent. */
  ENDPOINT_FAILED("endpoint_failed", 502, Outcome.UNKNOWN),
  /** The partition moved to another owner while the request ran. */
  OWNER_CHANGED("owner_changed", 503, Outcome.UNKNOWN),
  /** Whether the action took effect is unknown; it is not sent again. */
  OUTCOME_UNKNOWN("outcome_unknown", 504, Outcome.UNKNOWN),
  /** An internal error of this VM; whether the request ran is unknown. */
  INTERNAL("internal", 500, Outcome.UNKNOWN);

  private final String code;
  private final int status;
  private final Outcome outcome;

  ProblemCode(String code, int status, Outcome outcome) {
    this.code = code;
    this.status = status;
    this.outcome = outcome;
  }

  /** Returns the code as used in problem documents. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the outcome of requests that fail with this code. */
  public Outcome outcome() {
    return outcome;
  }
}
