package io.magnoliaroute.core.log;

/** Thrown when an append to the log or a read from it fails. */
public final class LogException extends Exception {

  private static final long serialVersionUID = 1L;

  private final Kind kind;

  /** The cause of the failure, which determines whether an append may have taken effect. */
  public enum Kind {
    /** The log refused the operation; an append did not and will not take effect. */
    UNAVAILABLE,
    /** No response arrived in time; an append may have taken effect or may do so later. */
    TIMED_OUT,
    /** The requested offset is no longer retained. */
    OFFSET_EXPIRED
  }

  /** Creates an exception; the message should contain the stream and offset. */
  public LogException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns the cause of the failure. */
  public Kind kind() {
    return kind;
  }
}
