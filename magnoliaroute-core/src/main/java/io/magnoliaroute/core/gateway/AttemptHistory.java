package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the attempts of one request and decides how to proceed after a failed one.
 *
 * <p>A request that may have run is retried only if its route allows it, and it runs on no more
 * endpoints than the route allows, apart from those that have demonstrably ended or are cut off.
 * None is retried after a failure of the endpoint, even if only its beginning has arrived. An
 * endpoint that broke the connection but still accepts new ones therefore receives the retry
 * itself. This covers endpoints that reset single connections, crash, or are partitioned off while
 * they run requests.
 */
public final class AttemptHistory {

  /**
   * Maximum number of attempts; ends loops between endpoints that all refuse. About twice the
   * number of endpoints of a small service.
   */
  static final int MAX_ATTEMPTS = 12;

  /**
   * Consecutive broken attempts after which a reachable endpoint is avoided; a third attempt is
   * unlikely to succeed.
   */
  static final int MAX_BROKEN_ATTEMPTS_PER_ENDPOINT = 2;

  private final Route route;
  private final Set<EndpointId> ranOn = new HashSet<>();
  private final Set<EndpointId> avoided = new HashSet<>();
  private final Set<EndpointId> refusedBy = new HashSet<>();
  private final Map<EndpointId, LossEvidence> earlierRuns = new LinkedHashMap<>();
  private boolean mayHaveRun;
  private int attempts;
  private int consecutiveBrokenAttempts;
  private EndpointId lastEndpoint;

  /** Creates the history of a request that has not been sent yet. */
  public AttemptHistory(Route route) {
    this.route = route;
  }

  /** Records the start of an attempt at the endpoint. */
  public void beginAttempt(EndpointId endpoint) {
    if (!endpoint.equals(lastEndpoint)) {
      consecutiveBrokenAttempts = 0;
    }
    lastEndpoint = endpoint;
    attempts++;
  }

  /** Returns the number of attempts. */
  public int attempts() {
    return attempts;
  }

  /** Returns whether any endpoint may have started to run the request. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the endpoint may have started to run the request. */
  public boolean mayHaveRunOn(EndpointId endpoint) {
    return ranOn.contains(endpoint);
  }

  /**
   * Returns the other endpoints that may have started to run the request, in the order of their
   * attempts, and what was known of each when its last attempt failed.
   */
  public Map<EndpointId, LossEvidence> earlierRunsBeside(EndpointId endpoint) {
    Map<EndpointId, LossEvidence> others = new LinkedHashMap<>(earlierRuns);
    others.remove(endpoint);
    return others;
  }

  /** Returns the maximum number of endpoints that may run the request. */
  public int maxEndpoints() {
    return route.maxEndpoints();
  }

  /** Returns whether the endpoint has refused the request because it was full. */
  public boolean wasRefusedBy(EndpointId endpoint) {
    return refusedBy.contains(endpoint);
  }

  /**
   * Returns the endpoints that failed this request and are not selected while others are left. The
   * set is modifiable: callers clear it to make all endpoints eligible again.
   */
  public Set<EndpointId> avoidedEndpoints() {
    return avoided;
  }

  /** Returns whether another attempt may be made. */
  public boolean hasAttemptsLeft() {
    return attempts < MAX_ATTEMPTS;
  }

  /** Records that the request is repeated while its last attempt is still open. */
  public void recordRepeat() {
    mayHaveRun = true;
    ranOn.add(lastEndpoint);
    earlierRuns.put(lastEndpoint, LossEvidence.NONE);
  }

  /**
   * Records the failure of the last attempt and returns how to proceed.
   *
   * @param evidence what is known of the endpoint
   */
  public RetryAction recordFailure(AttemptFailure failure, LossEvidence evidence) {
    mayHaveRun |= failure.mayHaveRun();
    if (failure.mayHaveRun()) {
      ranOn.add(lastEndpoint);
    }
    if (ranOn.contains(lastEndpoint)) {
      earlierRuns.put(lastEndpoint, evidence);
    }
    if (failure == AttemptFailure.REFUSED_FULL) {
      refusedBy.add(lastEndpoint);
    }
    if (evidence.isProof()) {
      ranOn.remove(lastEndpoint);
    }
    if (failure.isFinal() || (mayHaveRun && !route.mayRepeat())) {
      return RetryAction.ANSWER_UNKNOWN;
    }
    if (!hasAttemptsLeft()) {
      return mayHaveRun ? RetryAction.ANSWER_UNKNOWN : RetryAction.ANSWER_NOT_RUN;
    }
    if (failure.isConnectionLost()
        && ++consecutiveBrokenAttempts < MAX_BROKEN_ATTEMPTS_PER_ENDPOINT) {
      return RetryAction.SAME_ENDPOINT;
    }
    avoided.add(lastEndpoint);
    if (ranOn.size() >= route.maxEndpoints()) {
      return RetryAction.ANSWER_UNKNOWN;
    }
    return RetryAction.OTHER_ENDPOINT;
  }
}
