package io.magnoliaroute.wire;

/** Thrown for a frame that is rejected; the receiver closes the connection. */
public final class WireException extends Exception {

  private static final long serialVersionUID = 1L;

  private final Kind kind;

  /** The reason why a frame is rejected. */
  public enum Kind {
    /** The length prefix is zero, negative or above the maximum. */
    FRAME_LENGTH("frame_length"),
    /** This release does not know the message type. */
    UNKNOWN_TYPE("unknown_type"),
    /** The body is not a valid message of its type. */
    MALFORMED_BODY("malformed_body"),
    /** The nonce or the proof of the shared secret is missing or invalid. */
    AUTHENTICATION("authentication"),
    /** The message is not allowed in the current state of the connection. */
    UNEXPECTED_MESSAGE("unexpected_message");

    private final String wireName;

    Kind(String wireName) {
      this.wireName = wireName;
    }

    /** Returns the value of the {@code kind} label in metrics. */
    public String wireName() {
      return wireName;
    }
  }

  /** Creates an exception of the given kind. */
  public WireException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Creates an exception of the given kind with a cause. */
  public WireException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /** Returns the reason why the frame is rejected. */
  public Kind kind() {
    return kind;
  }
}
