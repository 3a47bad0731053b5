package io.magnoliaroute.daemon.engine;

/** Thrown when a call to a plain service ends without a response. */
public final class ServiceCallException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient EndpointFailure failure;

  ServiceCallException(EndpointFailure failure) {
    super(failure.kind() + ": " + failure.detail(), null, false, false);
    this.failure = failure;
  }

  /** Returns the failure of the call. */
  public EndpointFailure failure() {
    return failure;
  }
}
