package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Outcome;
import java.util.Optional;

/** Says which outcome the answer to a status query settles. */
final class StatusRule {

  private StatusRule() {}

  /**
   * Returns the outcome, or empty when the answer settles none.
   *
   * @param queryToken the fencing token that the query carried
   * @param sentToken a bound on the token of the request: it had this one or a lower one
   */
  static Optional<ActionReply> outcome(
      StatusAnswer answer, ServiceTraits traits, long queryToken, long sentToken) {
    if (answer instanceof StatusAnswer.Ran ran) {
      return Optional.of(
          new ActionReply(Outcome.DONE, ActionReason.SERVICE_ANSWERED, ran.result()));
    }
    // Without a higher token, a request that is still on its way can run after the query.
    boolean cannotRunLater = traits.checksFencingToken() && queryToken > sentToken;
    if (answer instanceof StatusAnswer.DidNotRun && cannotRunLater) {
      return Optional.of(ActionReply.of(Outcome.NOT_RUN, ActionReason.SERVICE_DID_NOT_RUN));
    }
    return Optional.empty();
  }
}
