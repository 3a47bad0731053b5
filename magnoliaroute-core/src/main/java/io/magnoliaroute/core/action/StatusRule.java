package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Outcome;
import java.util.Optional;

/** Derives the outcome of an action from the response to a status query. */
final class StatusRule {

  private StatusRule() {}

  /**
   * Returns the reply that the response proves, or empty if it is inconclusive.
   *
   * @param queryToken the fencing token that the query carried
   * @param sentToken an upper bound of the fencing token that the request carried
   */
  static Optional<ActionReply> outcome(
      StatusAnswer answer, ServiceTraits traits, long queryToken, long sentToken) {
    if (answer instanceof StatusAnswer.Ran ran) {
      return Optional.of(
          new ActionReply(Outcome.DONE, ActionReason.SERVICE_ANSWERED, ran.result()));
    }
    // Only a higher token in the query prevents a request still in transit from being executed
    // later.
    boolean cannotRunLater = traits.checksFencingToken() && queryToken > sentToken;
    if (answer instanceof StatusAnswer.DidNotRun && cannotRunLater) {
      return Optional.of(ActionReply.of(Outcome.NOT_RUN, ActionReason.SERVICE_DID_NOT_RUN));
    }
    return Optional.empty();
  }
}
