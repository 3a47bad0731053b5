package io.magnoliaroute.core.budget;

/** The life-cycle phase of a slice. */
public enum SlicePhase {
  /** The holder may open further units; the full amount is committed. */
  LIVE {
    @Override
    long committedUnits(long amountUnits, long openedUnits) {
      return amountUnits;
    }
  },
  /** The holder may spend the units opened before the reclaim; only these are committed. */
  RECLAIMED {
    @Override
    long committedUnits(long amountUnits, long openedUnits) {
      return openedUnits;
    }
  },
  /** The holder has reported its spent units, which the account counts separately. */
  RELEASED {
    @Override
    long committedUnits(long amountUnits, long openedUnits) {
      return 0;
    }
  };

  abstract long committedUnits(long amountUnits, long openedUnits);
}
