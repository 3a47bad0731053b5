package io.magnoliaroute.core.membership;

/** Thrown when bytes are not a valid membership message or exceed its limits. */
public final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that describes the malformed content. */
  public MalformedMessageException(String message) {
    super(message);
  }

  /** Creates an exception with a message that describes the malformed content, and its cause. */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
