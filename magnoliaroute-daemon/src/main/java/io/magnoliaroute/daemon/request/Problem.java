package io.magnoliaroute.daemon.request;

import java.util.Objects;

/**
 * Why a request was not answered with a result.
 *
 * @param code the stable code
 * @param detail what was wrong in this request
 * @param retryAfterMs the wait after which a retry is likely to succeed; 0 for none
 */
public record Problem(ProblemCode code, String detail, long retryAfterMs) {

  /** Rejects missing parts. */
  public Problem {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(detail, "detail");
  }

  /** Returns a problem without a retry time. */
  public static Problem of(ProblemCode code, String detail) {
    return new Problem(code, detail, 0);
  }

  /** Returns the problem as an exception, for use in futures. */
  public ProblemException asException() {
    return new ProblemException(this);
  }
}
