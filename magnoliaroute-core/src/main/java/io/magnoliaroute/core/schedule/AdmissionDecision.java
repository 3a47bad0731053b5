package io.magnoliaroute.core.schedule;

import java.util.Objects;

/** The answer to an offered call. */
public sealed interface AdmissionDecision {

  /** Returns whether the call now waits for a slot. */
  default boolean isAccepted() {
    return this instanceof Accepted;
  }

  /**
   * The call waits for a slot and stays accepted until it is granted and released, or cancelled.
   *
   * @param urgentDemoted whether an urgent call was past its team's ration and waits as normal
   */
  record Accepted(boolean urgentDemoted) implements AdmissionDecision {}

  /**
   * The call was not taken and has not run.
   *
   * @param reason why
   * @param retryAfterMs the wait after which a new offer is likely to be accepted
   */
  record Refused(RefusalReason reason, long retryAfterMs) implements AdmissionDecision {

    /** Rejects a missing reason and a negative wait. */
    public Refused {
      Objects.requireNonNull(reason, "reason");
      if (retryAfterMs < 0) {
        throw new IllegalArgumentException("retryAfterMs must not be negative: " + retryAfterMs);
      }
    }
  }
}
