package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;

/**
 * The reply to the caller.
 *
 * @param outcome what happened
 * @param reason why
 * @param result the service's answer, empty where there is none
 */
public record ActionReply(Outcome outcome, ActionReason reason, Bytes result) {

  private static final Bytes NO_RESULT = Bytes.copyOf(new byte[0]);

  /** Returns a reply without a result. */
  public static ActionReply of(Outcome outcome, ActionReason reason) {
    return new ActionReply(outcome, reason, NO_RESULT);
  }
}
