package io.magnoliaroute.core.gateway.history;

/**
 * What is known of a turn that nobody asked so far holds. A wrong 404 ends the client's program, so
 * it takes a proof that the turn was never kept or has expired. A VM that has started again since
 * the turn may have forgotten it, so its reply proves nothing.
 *
 * @param homeReadToEnd whether a home VM read its partition of the store to the end, after all
 *     other VMs had been asked
 * @param ownPastKnown whether the VM that asks has lost no records within the retention period
 * @param vmsAsked VMs that may hold records that are not stored yet
 * @param vmsReplied VMs of these that replied that they hold no such record
 * @param vmsPastKnown VMs of these that besides have lost no records within the retention period
 */
public record AbsenceProof(
    boolean homeReadToEnd, boolean ownPastKnown, int vmsAsked, int vmsReplied, int vmsPastKnown) {

  /** Returns whether the turn does not exist; if not, it may or may not. */
  public boolean isComplete() {
    return homeReadToEnd && ownPastKnown && vmsPastKnown >= vmsAsked;
  }
}
