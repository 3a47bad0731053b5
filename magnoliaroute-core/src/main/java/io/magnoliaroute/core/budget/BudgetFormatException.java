package io.magnoliaroute.core.budget;

/** Reports that a payload is not a budget record. */
public final class BudgetFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Makes an exception that says what was wrong. */
  public BudgetFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}
