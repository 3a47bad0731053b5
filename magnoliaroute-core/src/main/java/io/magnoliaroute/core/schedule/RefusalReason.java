package io.magnoliaroute.core.schedule;

/** Reason for which a call was refused without being run. */
public enum RefusalReason {
  /** The deadline cannot be met given the work that is already accepted. */
  DEADLINE_UNREACHABLE("deadline_unreachable"),
  /** The queue of the group is full. */
  QUEUE_FULL("queue_full"),
  /** The group has no endpoint that accepts new calls. */
  NO_ENDPOINT("no_endpoint"),
  /** The call is already waiting or running. */
  DUPLICATE_CALL("duplicate_call");

  private final String wireName;

  RefusalReason(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in replies and counters. */
  public String wireName() {
    return wireName;
  }
}
