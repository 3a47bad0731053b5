package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.VmId;

/**
 * A slice as the log order left it.
 *
 * @param slice the identity of the slice
 * @param vm the holder
 * @param amountUnits the size of the slice
 * @param openedUnits the part that the holder may spend
 * @param phase whether the slice is live, reclaimed or released
 */
public record SliceState(
    String slice, VmId vm, long amountUnits, long openedUnits, SlicePhase phase) {

  /** Returns the part of the budget that the slice keeps from other slices. */
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
