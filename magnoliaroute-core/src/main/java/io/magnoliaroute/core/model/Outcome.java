package io.magnoliaroute.core.model;

/** What happened to a request. Every reply carries one; it is never inferred from a status code. */
public enum Outcome {
  /** The request ran and the reply holds its result. */
  DONE("done"),
  /** The request did not run and will not run. */
  NOT_RUN("not_run"),
  /** The request may have run; it will not be run again. */
  UNKNOWN("unknown");

  private final String wireName;

  Outcome(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in headers and bodies. */
  public String wireName() {
    return wireName;
  }

  /** Returns the outcome with the given wire name. */
  public static Outcome ofWireName(String wireName) {
    for (Outcome outcome : values()) {
      if (outcome.wireName.equals(wireName)) {
        return outcome;
      }
    }
    throw new IllegalArgumentException("unknown outcome: '" + wireName + "'");
  }
}
