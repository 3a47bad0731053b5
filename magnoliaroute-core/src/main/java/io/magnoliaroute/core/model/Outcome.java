package io.magnoliaroute.core.model;

/** The outcome of a request. Every response contains it explicitly; no status code implies it. */
public enum Outcome {
  /** The request was executed and the response contains its result. */
  DONE("done"),
  /** The request was not and will not be executed. */
  NOT_RUN("not_run"),
  /** The request may have been executed; it will not be executed again. */
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
