package io.magnoliaroute.core.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.BudgetSettings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class BudgetHolderTest {

  private static final TeamId TEAM = new TeamId("alpha");
  private static final VmId VM = new VmId("vm-1");
  private static final long PERIOD_MS = 60_000;
  private static final BudgetPeriod PERIOD = new BudgetPeriod(0, PERIOD_MS);

  private final BudgetAccounts accounts = new BudgetAccounts();
  private final BudgetHolder holder = holder("vm-1/1", 1_000);
  private final List<BudgetRecord> appendedRecords = new ArrayList<>();
  private long offset;
  private long nowMs = 1_000;

  private BudgetHolder holder(String writer, long budgetUnits) {
    BudgetHolder created = new BudgetHolder(VM, writer, accounts, BudgetHolderLimits.defaults());
    created.putTeam(TEAM, new BudgetSettings(budgetUnits, PERIOD_MS), 1);
    return created;
  }

  /** Appends the due records of the holder to the log and reads them back. */
  private void roundTrip(BudgetHolder target) {
    for (BudgetRecord each : target.poll(nowMs)) {
      appendedRecords.add(each);
      target.onApplied(each, accounts.apply(offset++, each), nowMs);
    }
  }

  private Reservation reserve(long units) {
    Optional<Reservation> immediate = holder.reserve(TEAM, units, nowMs);
    if (immediate.isPresent()) {
      return immediate.get();
    }
    roundTrip(holder);
    return holder.reserve(TEAM, units, nowMs).orElseThrow();
  }

  private static BudgetRecord.SliceGranted grant(
      String slice, long amount, long opened, long budget, long version) {
    return new BudgetRecord.SliceGranted(
        slice, TEAM, PERIOD, slice, VM, amount, opened, budget, version, 1);
  }

  @Nested
  final class AccountRules {

    /** Guards against concurrent grants that together exceed the budget. */
    @Test
    void grantExceedingTheBudgetIsRefused() {
      assertEquals(BudgetVerdict.ACCEPTED, accounts.apply(0, grant("a", 600, 10, 1_000, 1)));
      assertEquals(BudgetVerdict.BUDGET_EXCEEDED, accounts.apply(1, grant("b", 500, 10, 1_000, 1)));
      assertEquals(BudgetVerdict.ACCEPTED, accounts.apply(2, grant("c", 400, 10, 1_000, 1)));
    }

    /** Guards against a repeated append that commits the amount twice, even after a release. */
    @Test
    void repeatedGrantIsCommittedOnce() {
      accounts.apply(0, grant("a", 600, 10, 1_000, 1));
      assertEquals(BudgetVerdict.DUPLICATE, accounts.apply(1, grant("a", 600, 10, 1_000, 1)));
      accounts.apply(2, new BudgetRecord.SliceReleased("r", TEAM, PERIOD, "a", 5));
      assertEquals(BudgetVerdict.DUPLICATE, accounts.apply(3, grant("a", 600, 10, 1_000, 1)));
      assertEquals(5, accounts.committedUnits(TEAM, PERIOD));
    }

    /** Guards against a reclaim that returns units which a disconnected holder may still spend. */
    @Test
    void reclaimReturnsOnlyUnopenedUnits() {
      accounts.apply(0, grant("a", 600, 10, 1_000, 1));
      accounts.apply(1, new BudgetRecord.SliceOpened("o", TEAM, PERIOD, "a", 70));
      accounts.apply(2, new BudgetRecord.SliceReclaimed("c", TEAM, PERIOD, "a"));
      assertEquals(70, accounts.committedUnits(TEAM, PERIOD));
      BudgetRecord late = new BudgetRecord.SliceOpened("p", TEAM, PERIOD, "a", 600);
      assertEquals(BudgetVerdict.SLICE_ENDED, accounts.apply(3, late));
      BudgetRecord released = new BudgetRecord.SliceReleased("r", TEAM, PERIOD, "a", 30);
      assertEquals(BudgetVerdict.ACCEPTED, accounts.apply(4, released));
      assertEquals(30, accounts.committedUnits(TEAM, PERIOD));
    }

    /** Guards against a grant by a VM with stale settings that undoes a reduction of the budget. */
    @Test
    void grantWithOlderSettingsIsRefused() {
      accounts.apply(0, grant("a", 10, 10, 100, 2));
      assertEquals(BudgetVerdict.STALE_SETTINGS, accounts.apply(1, grant("b", 500, 1, 1_000, 1)));
    }

    /** Guards against a late grant that reopens the account of a period long past. */
    @Test
    void oldPeriodIsClosedByLaterPeriods() {
      for (int i = 0; i <= BudgetAccounts.MAX_OPEN_PERIODS; i++) {
        BudgetPeriod period = new BudgetPeriod(i, PERIOD_MS);
        accounts.apply(
            i, new BudgetRecord.SliceGranted("g" + i, TEAM, period, "g" + i, VM, 1, 1, 10, 1, 1));
      }
      BudgetRecord late = grant("late", 10, 10, 10, 1);
      assertEquals(BudgetVerdict.PERIOD_CLOSED, accounts.apply(10, late));
    }

    /** Guards against amounts whose sum overflows and therefore appears to fit the budget. */
    @Test
    void largeAmountsDoNotOverflow() {
      accounts.apply(0, grant("a", 600, 10, 1_000, 1));
      assertEquals(
          BudgetVerdict.BUDGET_EXCEEDED,
          accounts.apply(1, grant("b", Long.MAX_VALUE, 1, 1_000, 1)));
      assertEquals(
          BudgetVerdict.MALFORMED, accounts.apply(2, grant("c", Long.MIN_VALUE, 0, 1_000, 1)));
    }
  }

  @Nested
  final class Reserving {

    /** Guards against a call that starts before the log has opened units for its cost. */
    @Test
    void nothingIsReservedBeforeTheGrantIsReadBack() {
      assertEquals(Optional.empty(), holder.reserve(TEAM, 10, nowMs));
      List<BudgetRecord> records = holder.poll(nowMs);
      assertEquals(1, records.size());
      assertEquals(Optional.empty(), holder.reserve(TEAM, 10, nowMs));
      assertEquals(List.of(), holder.poll(nowMs + 1));
      assertEquals(records, holder.poll(nowMs + BudgetHolderLimits.defaults().resendMs()));
    }

    /**
     * Guards against a disconnected VM that spends units which a reclaim has returned to the budget
     * and another VM has been granted (G3).
     */
    @Test
    void disconnectedHolderSpendsAtMostTheOpenedUnits() {
      BudgetRecord.SliceGranted slice = grant("vm-1/1/7", 1_000, 200, 1_000, 1);
      holder.onApplied(slice, accounts.apply(offset++, slice), nowMs);
      BudgetRecord reclaim = new BudgetRecord.SliceReclaimed("c", TEAM, PERIOD, "vm-1/1/7");
      accounts.apply(offset++, reclaim);
      BudgetRecord.SliceGranted other = grant("vm-2/1/1", 800, 800, 1_000, 1);
      assertEquals(BudgetVerdict.ACCEPTED, accounts.apply(offset++, other));
      assertEquals(Optional.empty(), holder.reserve(TEAM, 201, nowMs));
      assertEquals(200, holder.reserve(TEAM, 200, nowMs).orElseThrow().units());
      assertEquals(Optional.empty(), holder.reserve(TEAM, 1, nowMs));
    }

    /** Guards against a VM that rereads the log and loses track of spent units (seed 12506). */
    @Test
    void rereadingTheLogPreservesSpentUnits() {
      holder.settle(reserve(900), 900);
      accounts.restartFrom(0);
      for (int i = 0; i < appendedRecords.size(); i++) {
        holder.onApplied(appendedRecords.get(i), accounts.apply(i, appendedRecords.get(i)), nowMs);
      }
      assertEquals(900, holder.usage().get(0).spentUnits());
      assertEquals(BudgetAvailability.EXHAUSTED, holder.availability(TEAM, 101, nowMs));
    }

    /** Guards against a slice that is added before its verdict is reliable. */
    @Test
    void grantReadWhileCatchingUpIsNotAdded() {
      holder.reserve(TEAM, 10, nowMs);
      BudgetRecord granted = holder.poll(nowMs).get(0);
      accounts.restartFrom(5);
      holder.onApplied(granted, accounts.apply(5, granted), nowMs);
      assertEquals(Optional.empty(), holder.reserve(TEAM, 10, nowMs));
      accounts.markCaughtUp();
      holder.onApplied(granted, accounts.apply(6, granted), nowMs);
      assertEquals(10, holder.reserve(TEAM, 10, nowMs).orElseThrow().units());
    }

    /** Guards against two calls that reserve the same units. */
    @Test
    void reservedUnitsAreNotReservedAgain() {
      reserve(1_000);
      assertEquals(Optional.empty(), holder.reserve(TEAM, 1, nowMs));
      assertEquals(BudgetAvailability.EXHAUSTED, holder.availability(TEAM, 1, nowMs));
    }

    /** Guards against a second settlement that returns units twice. */
    @Test
    void reservationIsSettledOnce() {
      Reservation reservation = reserve(1_000);
      holder.settle(reservation, 400);
      holder.settle(reservation, 0);
      assertEquals(400, holder.usage().get(0).spentUnits());
      assertEquals(BudgetAvailability.READY, holder.availability(TEAM, 600, nowMs));
      assertEquals(BudgetAvailability.EXHAUSTED, holder.availability(TEAM, 601, nowMs));
    }

    /** Guards against a call that costs more than the usual slice and is never granted units. */
    @Test
    void callMayCostMoreThanEarlierSlices() {
      holder.settle(reserve(5), 5);
      assertEquals(900, reserve(900).units());
    }

    /** Guards against a large call that no longer fits the budget and blocks smaller calls. */
    @Test
    void largeRefusedCallDoesNotBlockSmallerCalls() {
      holder.settle(reserve(500), 500);
      assertEquals(Optional.empty(), holder.reserve(TEAM, 600, nowMs));
      assertEquals(20, reserve(20).units());
    }

    /** Guards against units of one period being spent in the next one. */
    @Test
    void eachPeriodHasItsOwnAccount() {
      holder.settle(reserve(1_000), 1_000);
      nowMs += PERIOD_MS;
      assertEquals(new BudgetPeriod(1, PERIOD_MS), reserve(1_000).period());
    }

    /** Guards against an overrun that is not reported and whose units stay available. */
    @Test
    void unitsAboveTheReservationAreChargedAndCounted() {
      Reservation reservation = reserve(10);
      holder.settle(reservation, 15);
      assertEquals(5, holder.usage().get(0).overrunUnits());
    }
  }

  @Nested
  final class Releasing {

    /** Guards against an idle VM that withholds budget from other VMs. */
    @Test
    void idleHolderReleasesItsSlices() {
      holder.settle(reserve(10), 4);
      nowMs += BudgetHolderLimits.defaults().idleMs();
      roundTrip(holder);
      assertEquals(4, accounts.committedUnits(TEAM, PERIOD));
    }

    /** Guards against a shutdown that releases slices while a call is still spending from them. */
    @Test
    void drainingHolderReleasesAfterItsCallsHaveEnded() {
      Reservation reservation = reserve(10);
      holder.drain();
      roundTrip(holder);
      assertTrue(accounts.committedUnits(TEAM, PERIOD) >= 10);
      holder.settle(reservation, 3);
      roundTrip(holder);
      assertEquals(3, accounts.committedUnits(TEAM, PERIOD));
      assertTrue(holder.isDrained());
    }

    /** Guards against slices of an earlier incarnation that are never returned to the budget. */
    @Test
    void restartedVmReclaimsItsOldSlices() {
      reserve(10);
      SliceReclaimer reclaimer = new SliceReclaimer(VM, "vm-1/2", 2_000, 300);
      List<BudgetRecord> records = reclaimer.poll(accounts, List.of(VM), nowMs);
      assertEquals(1, records.size());
      assertEquals(
          List.of(),
          new SliceReclaimer(VM, "vm-1/1", 2_000, 300).poll(accounts, List.of(VM), nowMs));
    }
  }

  @Nested
  final class Codec {

    /** Guards against fields that are swapped or lost in encoding, and truncated payloads. */
    @Test
    void encodingRoundTripsAndTruncatedPayloadsAreRejected() throws BudgetFormatException {
      reserve(10);
      appendedRecords.add(new BudgetRecord.SliceOpened("o", TEAM, PERIOD, "s", 7));
      appendedRecords.add(new BudgetRecord.SliceReleased("r", TEAM, PERIOD, "s", 6));
      appendedRecords.add(new BudgetRecord.SliceReclaimed("c", TEAM, PERIOD, "s"));
      appendedRecords.add(accounts.snapshot(TEAM, PERIOD, "x", 9).orElseThrow());
      for (BudgetRecord each : appendedRecords) {
        byte[] complete = BudgetCodec.encode(each).toArray();
        assertEquals(each, BudgetCodec.decode(Bytes.copyOf(complete)));
        for (int length = 0; length < complete.length; length++) {
          Bytes truncated = Bytes.copyOf(Arrays.copyOf(complete, length));
          assertThrows(BudgetFormatException.class, () -> BudgetCodec.decode(truncated));
        }
      }
    }
  }
}
