package io.magnoliaroute.wire;

/** Reports a frame that cannot be accepted; the connection that it came from is closed. */
public final class WireException extends Exception {

  private static final long serialVersionUID = 1L;

  private final Kind kind;

  /** What is wrong with the frame; also the name of the counter. */
  public enum Kind {
    /** The announced length is zero, negative or above the bound. */
    FRAME_LENGTH("frame_length"),
    /** The message type is not known to this release. */
    UNKNOWN_TYPE("unknown_type"),
    /** The body is not a valid message of its type. */
    MALFORMED_BODY("malformed_body"),
    /** The proof of the shared secret is missing or wrong. */
    AUTHENTICATION("authentication"),
    /** The message is not allowed in the state of the connection. */
    UNEXPECTED_MESSAGE("unexpected_message");

    private final String wireName;

    Kind(String wireName) {
      this.wireName = wireName;
    }

    /** Returns the name used in counters. */
    public String wireName() {
      return wireName;
    }
  }

  /** Makes an exception of the kind. */
  public WireException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Makes an exception of the kind with its cause. */
  public WireException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /** Returns what is wrong. */
  public Kind kind() {
    return kind;
  }
}
