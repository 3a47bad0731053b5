package io.magnoliaroute.daemon.request;

/** The operations that a partition owner carries out for a caller. */
public enum RequestKind {
  /** Starts a program. */
  START("start", true),
  /** Runs one model turn. */
  TURN("turn", true),
  /** Runs one action at a plain service. */
  ACTION("action", true),
  /** Ends a program. */
  END("end", false),
  /** Cancels a program and what it runs. */
  CANCEL("cancel", false),
  /** Shows a program. */
  SHOW("show", false),
  /** Shows the history of a program. */
  HISTORY("history", false),
  /** Lists the programs that the receiving VM owns. */
  LIST("list", false);

  private final String wireName;
  private final boolean startsWork;

  RequestKind(String wireName, boolean startsWork) {
    this.wireName = wireName;
    this.startsWork = startsWork;
  }

  /** Returns the name used between VMs and in counters. */
  public String wireName() {
    return wireName;
  }

  /** Returns whether a VM that is stopping refuses the request. */
  public boolean startsWork() {
    return startsWork;
  }

  /** Returns the kind with the given wire name. */
  public static RequestKind ofWireName(String wireName) {
    for (RequestKind kind : values()) {
      if (kind.wireName.equals(wireName)) {
        return kind;
      }
    }
    throw new IllegalArgumentException("unknown request kind: '" + wireName + "'");
  }
}
