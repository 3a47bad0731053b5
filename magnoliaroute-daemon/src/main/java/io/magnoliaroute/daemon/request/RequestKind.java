package io.magnoliaroute.daemon.request;

/** The operations that a partition owner performs for a caller. */
public enum RequestKind {
  /** Starts a program. */
  START("start", true),
  /** Runs one model turn. */
  TURN("turn", true),
  /** Runs one action at a service that is not a model engine. */
  ACTION("action", true),
  /** Ends a program. */
  END("end", false),
  /** Cancels a program and its running calls. */
  CANCEL("cancel", false),
  /** Returns the state of a program. */
  SHOW("show", false),
  /** Returns the history of a program. */
  HISTORY("history", false),
  /** Lists the programs that the receiving VM owns. */
  LIST("list", false);

  private final String wireName;
  private final boolean startsWork;

  RequestKind(String wireName, boolean startsWork) {
    this.wireName = wireName;
    this.startsWork = startsWork;
  }

  /** Returns the name used in messages between VMs and in metrics. */
  public String wireName() {
    return wireName;
  }

  /** Returns whether a stopping VM rejects requests of this kind. */
  public boolean startsWork() {
    return startsWork;
  }

  /**
   * Returns the kind with the given wire name.
   *
   * @throws IllegalArgumentException if there is no such kind
   */
  public static RequestKind ofWireName(String wireName) {
    for (RequestKind kind : values()) {
      if (kind.wireName.equals(wireName)) {
        return kind;
      }
    }
    throw new IllegalArgumentException("unknown request kind: '" + wireName + "'");
  }
}
