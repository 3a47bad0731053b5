package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Outcome;
import java.util.Optional;

/** Derives the outcome of an action from the response to a status query. */
final class StatusResponseEvaluator {

  private StatusResponseEvaluator() {}

  /**
   * Returns the reply that the response proves, or empty if it is inconclusive.
   *
   * @param queryToken the fencing token that the query carried
   * @param sentToken an upper bound of the fencing token that the request carried
   */
  static Optional<ActionReply> evaluate(
      StatusResponse response, ServiceCapabilities capabilities, long queryToken, long sentToken) {
    if (response instanceof StatusResponse.Executed executed) {
      return Optional.of(
          new ActionReply(Outcome.DONE, ActionReason.SERVICE_ANSWERED, executed.result()));
    }
    // Only a higher token in the query prevents a request still in transit from being executed
    // later.
    boolean cannotRunLater = capabilities.checksFencingToken() && queryToken > sentToken;
    if (response instanceof StatusResponse.NotExecuted && cannotRunLater) {
      return Optional.of(ActionReply.of(Outcome.NOT_RUN, ActionReason.SERVICE_DID_NOT_RUN));
    }
    return Optional.empty();
  }
}
