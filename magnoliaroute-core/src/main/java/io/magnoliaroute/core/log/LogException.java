package io.magnoliaroute.core.log;

/** Reports that the log did not carry out an append or a read. */
public final class LogException extends Exception {

  private static final long serialVersionUID = 1L;

  private final Kind kind;

  /** Says what is known of the operation that failed. */
  public enum Kind {
    /** The log refused the operation; an append did not take effect and will not. */
    UNAVAILABLE,
    /** No answer came; an append may have taken effect or may do so later. */
    TIMED_OUT,
    /** The offset asked for is no longer kept. */
    OFFSET_EXPIRED
  }

  /** Makes an exception with the stream and offset in its message. */
  public LogException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns what is known of the operation. */
  public Kind kind() {
    return kind;
  }
}
