package io.magnoliaroute.core.config;

/** Reports that a payload is not a config record or a config message. */
public final class ConfigFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Makes an exception that says what was wrong. */
  public ConfigFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}
