package io.magnoliaroute.core.schedule;

import java.util.Objects;

/** Decision of a group scheduler on an offered call. */
public sealed interface AdmissionDecision {

  /** Returns whether the call was accepted and waits for a slot. */
  default boolean isAccepted() {
    return this instanceof Accepted;
  }

  /**
   * The call was queued. It stays accepted until it is cancelled or its grant is released.
   *
   * @param urgentDemoted whether an urgent call exceeded its team's urgent ration and is queued
   *     with normal priority
   */
  record Accepted(boolean urgentDemoted) implements AdmissionDecision {}

  /**
   * The call was refused and has not run.
   *
   * @param reason the reason for the refusal
   * @param retryAfterMs the delay in milliseconds after which a new offer is likely to be accepted
   */
  record Refused(RefusalReason reason, long retryAfterMs) implements AdmissionDecision {

    /** Rejects a null reason and a negative retry delay. */
    public Refused {
      Objects.requireNonNull(reason, "reason");
      if (retryAfterMs < 0) {
        throw new IllegalArgumentException("retryAfterMs must not be negative: " + retryAfterMs);
      }
    }
  }
}
