package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.VmId;

/**
 * The state of a slice after applying records in log order.
 *
 * @param slice the id of the slice
 * @param vm the VM that holds the slice
 * @param amountUnits the size of the slice
 * @param openedUnits the part that the holder may spend
 * @param phase the phase of the slice
 */
public record SliceState(
    String slice, VmId vm, long amountUnits, long openedUnits, SlicePhase phase) {

  /** Returns the units of the budget that are not available to other slices. */
  public long committedUnits() {
    return phase.committedUnits(amountUnits, openedUnits);
  }

  SliceState withOpened(long units) {
    return new SliceState(slice, vm, amountUnits, units, phase);
  }

  SliceState withPhase(SlicePhase next) {
    return new SliceState(slice, vm, amountUnits, openedUnits, next);
  }
}
