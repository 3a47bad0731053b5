package io.magnoliaroute.core.budget;

/** Thrown when a payload is not a valid budget record. */
public final class BudgetFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a description of the format error and its cause, if any. */
  public BudgetFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}
