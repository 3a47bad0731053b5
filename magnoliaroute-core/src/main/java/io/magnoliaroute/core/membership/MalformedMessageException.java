package io.magnoliaroute.core.membership;

/** Reports that bytes are not a membership message or exceed its bounds. */
public final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Makes an exception that names what was found. */
  public MalformedMessageException(String message) {
    super(message);
  }

  /** Makes an exception that names what was found and the cause. */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
