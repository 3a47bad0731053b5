package io.magnoliaroute.core.gateway.quota;

import io.magnoliaroute.core.model.VmId;

/**
 * The decision on a {@link PermitDemand}.
 *
 * @param verdict the outcome
 * @param delayMs the delay after which the request may run, or, if the permit was denied, after
 *     which the next one is available
 * @param issuer the VM that decided, to which an unused permit is returned
 */
public record PermitDecision(Verdict verdict, long delayMs, VmId issuer) {

  /** The outcome of a decision. */
  public enum Verdict {
    /** The request may run after the delay. */
    GRANTED,
    /** The workspace has no permit left. */
    DENIED,
    /** No VM that may issue permits of the workspace has decided. */
    UNDECIDED
  }
}
