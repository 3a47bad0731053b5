package io.magnoliaroute.core.gateway.admission;

/**
 * The result of an admission decision, with the estimates it is based on.
 *
 * @param kind whether the request is served
 * @param waitUntilMs until when a waiting request may wait for a place; otherwise 0
 * @param retryAfterMs when the client of a refused request may retry; otherwise 0
 * @param load the estimated number of requests per slot of the service
 * @param queueMs the estimated time that the request would wait for a slot
 * @param probability the probability with which such a request is served at present
 */
public record AdmissionVerdict(
    Kind kind,
    long waitUntilMs,
    long retryAfterMs,
    double load,
    double queueMs,
    double probability) {

  /** What happens to the request. */
  public enum Kind {
    /** The request is sent to an endpoint now. */
    SERVE,
    /** The request waits until a place becomes free. */
    WAIT,
    /** The request is refused because the service has too little capacity. */
    REFUSE,
    /** The request is refused because it could not end by its deadline. */
    REFUSE_LATE
  }

  /** Returns whether the request is refused. */
  public boolean isRefusal() {
    return kind == Kind.REFUSE || kind == Kind.REFUSE_LATE;
  }
}
