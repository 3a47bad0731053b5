package io.magnoliaroute.core.model;

/** The priority class of a program, highest first. */
public enum PriorityClass {
  /** Scheduled before all other classes, within the quota of the team for urgent calls. */
  URGENT("urgent", 0),
  /** Interactive work. */
  NORMAL("normal", 1),
  /** Work that can be delayed; shed first under overload. */
  BULK("bulk", 2);

  private final String wireName;
  private final int rank;

  PriorityClass(String wireName, int rank) {
    this.wireName = wireName;
    this.rank = rank;
  }

  /** Returns the position in the scheduling order, from 0 for the class that is scheduled first. */
  public int rank() {
    return rank;
  }

  /** Returns the name used in settings, headers and bodies. */
  public String wireName() {
    return wireName;
  }

  /** Returns whether this class is scheduled before the other. */
  public boolean precedes(PriorityClass other) {
    return rank < other.rank;
  }

  /** Returns the class with the given wire name. */
  public static PriorityClass ofWireName(String wireName) {
    for (PriorityClass priority : values()) {
      if (priority.wireName.equals(wireName)) {
        return priority;
      }
    }
    throw new IllegalArgumentException("unknown priority class: '" + wireName + "'");
  }
}
