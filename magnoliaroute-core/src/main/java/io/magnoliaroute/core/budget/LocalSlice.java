package io.magnoliaroute.core.budget;

/** A slice held by this VM, with the units that calls have reserved and spent. */
final class LocalSlice {

  /** The headroom, which is opened in advance of demand, is the slice size divided by this. */
  private static final int HEADROOM_DIVISOR = 4;

  final String id;
  final BudgetPeriod period;
  final long amountUnits;
  long openedUnits;
  long reservedUnits;
  long spentUnits;
  long lastUsedMs;
  boolean reclaimed;
  PendingRecord pendingOpen;
  PendingRecord pendingRelease;

  LocalSlice(BudgetPeriod period, SliceState state, long nowMs) {
    this.id = state.slice();
    this.period = period;
    this.amountUnits = state.amountUnits();
    this.openedUnits = state.openedUnits();
    this.reclaimed = state.phase() == SlicePhase.RECLAIMED;
    this.lastUsedMs = nowMs;
  }

  /** Returns the units that can be reserved now. */
  long availableUnits() {
    return pendingRelease != null ? 0 : Math.max(0, openedUnits - spentUnits - reservedUnits);
  }

  /** Returns the units that could still be opened. */
  long unopenedUnits() {
    return reclaimed || pendingRelease != null ? 0 : amountUnits - openedUnits;
  }

  /**
   * Returns the total of opened units at which at least {@code wantedUnits} units are available,
   * limited to the size of the slice.
   */
  long targetOpenedUnits(long wantedUnits) {
    long headroom = Math.max(wantedUnits, headroomUnits(amountUnits));
    return Math.min(amountUnits, spentUnits + reservedUnits + headroom);
  }

  static long headroomUnits(long amountUnits) {
    return (amountUnits + HEADROOM_DIVISOR - 1) / HEADROOM_DIVISOR;
  }

  /** A record that was returned to be appended and has not been read back. */
  static final class PendingRecord {

    final BudgetRecord budgetRecord;
    long sentMs;

    PendingRecord(BudgetRecord budgetRecord, long sentMs) {
      this.budgetRecord = budgetRecord;
      this.sentMs = sentMs;
    }
  }
}
