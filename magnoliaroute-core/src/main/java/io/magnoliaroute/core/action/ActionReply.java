package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;

/**
 * The reply to a caller's request for an action.
 *
 * @param outcome whether the action was executed
 * @param reason the reason for the outcome
 * @param result the body of the service's response, empty if there is none
 */
public record ActionReply(Outcome outcome, ActionReason reason, Bytes result) {

  private static final Bytes NO_RESULT = Bytes.copyOf(new byte[0]);

  /** Returns a reply with an empty result. */
  public static ActionReply of(Outcome outcome, ActionReason reason) {
    return new ActionReply(outcome, reason, NO_RESULT);
  }
}
