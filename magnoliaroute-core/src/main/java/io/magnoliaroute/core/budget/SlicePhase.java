package io.magnoliaroute.core.budget;

/** How far a slice has come. */
public enum SlicePhase {
  /** The holder may open more of the slice; the whole amount is committed. */
  LIVE {
    @Override
    long committedUnits(long amountUnits, long openedUnits) {
      return amountUnits;
    }
  },
  /** The holder may spend what was opened before the reclaim; only that is committed. */
  RECLAIMED {
    @Override
    long committedUnits(long amountUnits, long openedUnits) {
      return openedUnits;
    }
  },
  /** The holder said what it spent; the account counts that among its finished units. */
  RELEASED {
    @Override
    long committedUnits(long amountUnits, long openedUnits) {
      return 0;
    }
  };

  abstract long committedUnits(long amountUnits, long openedUnits);
}
