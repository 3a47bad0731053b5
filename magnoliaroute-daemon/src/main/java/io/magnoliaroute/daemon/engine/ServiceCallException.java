package io.magnoliaroute.daemon.engine;

/** Reports that no answer of a plain service came. */
public final class ServiceCallException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient EngineFailure failure;

  ServiceCallException(EngineFailure failure) {
    super(failure.kind() + ": " + failure.detail(), null, false, false);
    this.failure = failure;
  }

  /** Returns what is known of the call. */
  public EngineFailure failure() {
    return failure;
  }
}
