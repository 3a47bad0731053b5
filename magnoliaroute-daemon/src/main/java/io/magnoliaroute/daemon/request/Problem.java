package io.magnoliaroute.daemon.request;

import java.util.Objects;

/**
 * Describes why a request failed.
 *
 * @param code the stable problem code
 * @param detail a description of the failure of this request
 * @param retryAfterMs the delay after which a retry is likely to succeed, or 0 for no hint
 */
public record Problem(ProblemCode code, String detail, long retryAfterMs) {

  /** Validates that code and detail are present. */
  public Problem {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(detail, "detail");
  }

  /** Returns a problem without a retry delay. */
  public static Problem of(ProblemCode code, String detail) {
    return new Problem(code, detail, 0);
  }

  /** Returns the problem as an exception, for use in futures. */
  public ProblemException asException() {
    return new ProblemException(this);
  }
}
