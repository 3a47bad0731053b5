package io.magnoliaroute.core.config;

/** Thrown when a payload cannot be decoded as a config record or config message. */
public final class ConfigFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a description of the error. */
  public ConfigFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}
