package io.magnoliaroute.core.gateway.history;

/**
 * What is known of a turn that nobody asked so far holds. A wrong 404 ends the client's program, so
 * it takes a proof that the turn was never kept or has expired.
 *
 * @param homeReadToEnd whether a home VM read its partition of the store to the end, after all
 *     other VMs had been asked
 * @param homeKnowsPast whether this home VM has run for the whole retention period, or since the
 *     first start of the system; before, VMs that held records without the store may all have ended
 * @param vmsAsked VMs that may hold records that are not stored yet
 * @param vmsWithoutRecord VMs of these that replied that they hold no such record
 */
public record AbsenceProof(
    boolean homeReadToEnd, boolean homeKnowsPast, int vmsAsked, int vmsWithoutRecord) {

  /** Returns whether the turn does not exist; if not, it may or may not. */
  public boolean isComplete() {
    return homeReadToEnd && homeKnowsPast && vmsWithoutRecord >= vmsAsked;
  }
}
