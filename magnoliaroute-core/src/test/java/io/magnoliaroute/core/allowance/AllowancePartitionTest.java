package io.magnoliaroute.core.allowance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against programs that exceed their token budget by more than one turn. */
@DisplayName("A holder's view of the budgets in a partition")
class AllowancePartitionTest {

  private static final long TURN_TOKENS = 100;
  private static final long BUDGET_TOKENS = 800;
  private static final String PROGRAM = "p1";

  private final AllowancePartition holder = new AllowancePartition("vm-1/1");

  private ReservationResult reserve(AllowancePartition at) {
    return at.reserve(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 0);
  }

  private static void record(AllowancePartition at) {
    AllowancePartition.Append append = at.nextAppend(0).orElseThrow();
    at.appendSucceeded(append, append.expectedEnd() + append.grants().size(), 0);
  }

  @Nested
  @DisplayName("with the store")
  class WithStore {

    @Test
    @DisplayName("makes the first turn of a program wait until its slice is recorded")
    void firstTurnWaits() {
      holder.load(List.of(), 0, 0);

      assertEquals(ReservationResult.WAIT, reserve(holder));
      assertEquals(
          List.of(new Grant(PROGRAM, 3 * TURN_TOKENS, "vm-1/1")),
          holder.nextAppend(0).orElseThrow().grants());
    }

    @Test
    @DisplayName("grants turns within a recorded slice without further records")
    void withinSlice() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);

      assertEquals(ReservationResult.GRANTED, reserve(holder));
      assertEquals(ReservationResult.GRANTED, reserve(holder));
      assertTrue(holder.nextAppend(0).isEmpty());
    }

    @Test
    @DisplayName("requests the next slice before the current one is used up")
    void requestsAhead() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);
      reserve(holder);
      reserve(holder);
      assertTrue(holder.nextAppend(0).isEmpty());

      reserve(holder);

      assertEquals(
          6 * TURN_TOKENS, holder.nextAppend(0).orElseThrow().grants().get(0).grantedTokens());
    }

    @Test
    @DisplayName("refuses a turn that exceeds the remaining budget")
    void exhausted() {
      holder.load(List.of(new Grant(PROGRAM, BUDGET_TOKENS - 50, "vm-2/1")), 1, 0);

      assertEquals(ReservationResult.EXHAUSTED, reserve(holder));
    }

    @Test
    @DisplayName("counts the delivered tokens of a completed turn instead of its reservation")
    void countsDeliveredTokens() {
      holder.load(List.of(), 0, 0);
      int granted = 0;
      ReservationResult result = reserve(holder);
      for (int rounds = 0; result != ReservationResult.EXHAUSTED; rounds++) {
        assertTrue(rounds < 100, "budget not exhausted after " + granted + " turns");
        if (result == ReservationResult.GRANTED) {
          granted++;
          holder.settle(PROGRAM, TURN_TOKENS, TURN_TOKENS / 4, 0);
        }
        holder.nextAppend(0).ifPresent(a -> holder.appendSucceeded(a, a.expectedEnd() + 1, 0));
        result = reserve(holder);
      }

      // Each turn uses a quarter of its reservation; the last one must still fit in full.
      assertEquals(29, granted);
    }

    @Test
    @DisplayName("has at most one append in progress")
    void oneAppend() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      assertTrue(holder.nextAppend(0).isPresent());

      assertTrue(holder.nextAppend(0).isEmpty());
      holder.appendFailed();
      assertTrue(holder.nextAppend(0).isPresent());
    }

    @Test
    @DisplayName("drops the record of a program that was not used for the retention time")
    void dropsUnused() {
      holder.load(List.of(new Grant("old", 10, "vm-2/1")), 1, 0);
      holder.reserve(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, AllowancePartition.RETENTION_MS);

      AllowancePartition.Append append =
          holder.nextAppend(AllowancePartition.RETENTION_MS).orElseThrow();

      assertEquals(List.of("old"), append.expiredPrograms());
      holder.appendSucceeded(append, 3, AllowancePartition.RETENTION_MS);
      assertFalse(holder.isKnown("old"));
    }
  }

  @Nested
  @DisplayName("with another holder")
  class WithAnotherHolder {

    private final AllowancePartition other = new AllowancePartition("vm-2/1");

    @Test
    @DisplayName("counts a slice of the other holder as used")
    void otherSliceIsUsed() {
      holder.load(List.of(), 0, 0);
      other.load(List.of(), 0, 0);
      reserve(holder);
      AllowancePartition.Append first = holder.nextAppend(0).orElseThrow();
      holder.appendSucceeded(first, 1, 0);

      other.applyRecords(first.grants(), 1, 0);
      other.reserve(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 0);

      assertEquals(
          6 * TURN_TOKENS, other.nextAppend(0).orElseThrow().grants().get(0).grantedTokens());
    }

    @Test
    @DisplayName("applies its own record that it reads back after a lost response")
    void ownRecordReadBack() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      AllowancePartition.Append lost = holder.nextAppend(0).orElseThrow();

      holder.applyRecords(lost.grants(), 1, 0);

      assertEquals(ReservationResult.GRANTED, reserve(holder));
      assertEquals(ReservationResult.GRANTED, reserve(holder));
      assertEquals(1, holder.end());
    }

    @Test
    @DisplayName("returns the holder of a slice, which alone grants turns from it")
    void otherHolderOfSlice() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);
      other.load(List.of(new Grant(PROGRAM, 3 * TURN_TOKENS, "vm-1/1")), 1, 0);

      assertEquals(Optional.of("vm-1/1"), other.otherSliceHolder(PROGRAM));
      assertEquals(Optional.empty(), holder.otherSliceHolder(PROGRAM));
      for (int turn = 0; turn < 3; turn++) {
        assertEquals(
            ReservationResult.GRANTED, holder.reserveFromOwnSlices(PROGRAM, TURN_TOKENS, 0));
      }
      assertEquals(
          ReservationResult.EXHAUSTED, holder.reserveFromOwnSlices(PROGRAM, TURN_TOKENS, 0));
      assertEquals(
          ReservationResult.EXHAUSTED, other.reserveFromOwnSlices(PROGRAM, TURN_TOKENS, 0));
    }

    @Test
    @DisplayName("returns unused tokens to the budget on release")
    void release() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);

      reserve(holder);

      AllowancePartition.Append release = holder.nextRelease(0, 0).orElseThrow();
      assertEquals(List.of(new Grant(PROGRAM, TURN_TOKENS, "vm-1/1")), release.grants());
      holder.appendSucceeded(release, 2, 0);
      assertEquals(Optional.empty(), holder.nextRelease(0, 0));
    }

    @Test
    @DisplayName("releases by the newest records after other holders have appended theirs")
    void releaseAfterConflict() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);
      reserve(holder);
      assertTrue(holder.nextRelease(0, 0).isPresent());

      holder.applyRecords(List.of(new Grant(PROGRAM, 6 * TURN_TOKENS, "vm-2/1")), 2, 0);

      AllowancePartition.Append second = holder.nextRelease(0, 0).orElseThrow();
      assertEquals(2, second.expectedEnd());
      assertEquals(List.of(new Grant(PROGRAM, 4 * TURN_TOKENS, "vm-1/1")), second.grants());
    }

    @Test
    @DisplayName("grants no tokens of a release that may still take effect")
    void releaseInDoubt() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);
      reserve(holder);
      AllowancePartition.Append lost = holder.nextRelease(0, 0).orElseThrow();

      holder.applyRecords(List.of(), 1, 0);
      assertEquals(ReservationResult.WAIT, holder.reserveFromOwnSlices(PROGRAM, TURN_TOKENS, 0));
      holder.applyRecords(lost.grants(), 2, 0);

      assertEquals(
          ReservationResult.EXHAUSTED, holder.reserveFromOwnSlices(PROGRAM, TURN_TOKENS, 0));
    }

    @Test
    @DisplayName("grants the tokens of a release that has failed")
    void failedRelease() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);
      reserve(holder);
      assertTrue(holder.nextRelease(0, 0).isPresent());

      holder.releaseFailed();

      assertEquals(ReservationResult.GRANTED, holder.reserveFromOwnSlices(PROGRAM, TURN_TOKENS, 0));
    }

    @Test
    @DisplayName("keeps the slices of programs that still use them, if only idle ones are released")
    void releaseOfIdleSlices() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);
      reserve(holder);

      assertEquals(Optional.empty(), holder.nextRelease(1_000, 999));
      assertEquals(1, holder.nextRelease(1_000, 1_000).orElseThrow().grants().size());
    }

    @Test
    @DisplayName("does not name a holder that has released its slice")
    void releasedSliceHasNoHolder() {
      other.load(List.of(new Grant(PROGRAM, 3 * TURN_TOKENS, "vm-1/1")), 1, 0);

      other.applyRecords(List.of(new Grant(PROGRAM, TURN_TOKENS, "vm-1/1")), 2, 0);

      assertEquals(Optional.empty(), other.otherSliceHolder(PROGRAM));
    }
  }

  @Nested
  @DisplayName("without the store")
  class WithoutStore {

    @Test
    @DisplayName("grants a single turn of a program with a small budget")
    void oneTurn() {
      assertEquals(
          ReservationResult.GRANTED,
          holder.reserveOffline(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0));
      assertEquals(
          ReservationResult.WAIT, holder.reserveOffline(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0));
    }

    @Test
    @DisplayName(
        "adds at most one turn to the usage that is recorded elsewhere, even if turns are short")
    void shortTurns() {
      long delivered = 3 * TURN_TOKENS;
      while (delivered < 10 * TURN_TOKENS
          && holder.reserveOffline(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0)
              == ReservationResult.GRANTED) {
        // All turns but the last deliver less than they reserve; the last may deliver its maximum.
        holder.settle(PROGRAM, TURN_TOKENS, TURN_TOKENS * 2 / 5, 0);
        delivered += TURN_TOKENS * 2 / 5;
        if (delivered > 3 * TURN_TOKENS) {
          delivered +=
              holder.reserveOffline(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0)
                      == ReservationResult.GRANTED
                  ? TURN_TOKENS
                  : 0;
        }
      }

      assertTrue(delivered <= 3 * TURN_TOKENS + TURN_TOKENS, "delivered " + delivered + " tokens");
    }

    @Test
    @DisplayName("exceeds a budget of three turns by at most one if four data centres are isolated")
    void fourDataCentres() {
      long delivered = 0;
      for (int dataCentre = 0; dataCentre < 4; dataCentre++) {
        AllowancePartition isolated = new AllowancePartition("vm-" + dataCentre + "/1");
        while (isolated.reserveOffline(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0)
            == ReservationResult.GRANTED) {
          delivered += TURN_TOKENS;
        }
      }

      assertTrue(delivered <= 4 * TURN_TOKENS, "delivered " + delivered + " tokens");
    }

    @Test
    @DisplayName("grants half of a large budget")
    void halfOfLargeBudget() {
      int granted = 0;
      while (holder.reserveOffline(PROGRAM, 40 * TURN_TOKENS, TURN_TOKENS, 0)
          == ReservationResult.GRANTED) {
        granted++;
      }

      assertEquals(20, granted);
    }

    @Test
    @DisplayName("counts slices of other holders that were read before the outage")
    void readBeforeOutage() {
      holder.load(List.of(new Grant(PROGRAM, 3 * TURN_TOKENS, "vm-2/1")), 1, 0);

      assertEquals(
          ReservationResult.EXHAUSTED,
          holder.reserveOffline(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0));
    }

    @Test
    @DisplayName("counts the usage that other VMs have reported")
    void reportedUsage() {
      holder.applyReportedUsage(PROGRAM, "vm-2/1", BUDGET_TOKENS - TURN_TOKENS, 0, 0);

      assertEquals(
          ReservationResult.GRANTED, holder.reserveOffline(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 0));
      assertEquals(
          ReservationResult.EXHAUSTED,
          holder.reserveOffline(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 0));
    }

    @Test
    @DisplayName("counts an unrecorded turn that another VM ran before it stopped")
    void unrecordedTurnOfOtherVm() {
      holder.applyReportedUsage(PROGRAM, "vm-2/1", TURN_TOKENS, TURN_TOKENS, 0);

      assertEquals(
          ReservationResult.WAIT, holder.reserveOffline(PROGRAM, 2 * TURN_TOKENS, TURN_TOKENS, 0));
    }

    @Test
    @DisplayName("keeps budget free for an unrecorded turn of another VM")
    void keepsBudgetForOtherVm() {
      holder.load(List.of(), 0, 0);
      holder.applyReportedUsage(PROGRAM, "vm-2/1", TURN_TOKENS, TURN_TOKENS, 0);
      assertEquals(
          ReservationResult.WAIT, holder.reserve(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0));
      record(holder);

      assertEquals(
          ReservationResult.GRANTED, holder.reserve(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0));
      assertEquals(
          ReservationResult.GRANTED, holder.reserve(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0));
      assertEquals(
          ReservationResult.EXHAUSTED, holder.reserve(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0));
    }

    @Test
    @DisplayName("counts a turn of another VM only once after its record was read")
    void recordOfOtherVm() {
      holder.load(List.of(), 0, 0);
      holder.applyReportedUsage(PROGRAM, "vm-2/1", TURN_TOKENS, TURN_TOKENS, 0);
      holder.applyRecords(List.of(new Grant(PROGRAM, TURN_TOKENS, "vm-2/1")), 1, 0);

      assertEquals(
          ReservationResult.WAIT, holder.reserve(PROGRAM, 4 * TURN_TOKENS, TURN_TOKENS, 0));
      assertEquals(
          4 * TURN_TOKENS, holder.nextAppend(0).orElseThrow().grants().get(0).grantedTokens());
    }

    @Test
    @DisplayName("records offline turns when the store is available again")
    void recordsLater() {
      holder.reserveOffline(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 0);
      holder.reserveOffline(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 0);
      assertEquals(Optional.empty(), holder.nextAppend(0));

      holder.load(List.of(), 0, 0);

      assertEquals(
          2 * TURN_TOKENS, holder.nextAppend(0).orElseThrow().grants().get(0).grantedTokens());
    }

    @Test
    @DisplayName(
        "records only the tokens that short turns delivered, so that others can use the rest")
    void recordsDeliveredTokens() {
      holder.reserveOffline(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 0);
      holder.settle(PROGRAM, TURN_TOKENS, 7, 0);
      holder.load(List.of(), 0, 0);

      assertEquals(7, holder.nextAppend(0).orElseThrow().grants().get(0).grantedTokens());
    }

    @Test
    @DisplayName("records nothing for a turn that was not granted")
    void nothingForTurnNotGranted() {
      holder.load(List.of(), 0, 0);
      holder.reserveOffline(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0);
      holder.settle(PROGRAM, TURN_TOKENS, 0, 0);
      holder.reserveOffline(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0);
      assertEquals(
          ReservationResult.WAIT, holder.reserveOffline(PROGRAM, 3 * TURN_TOKENS, TURN_TOKENS, 0));
      holder.settle(PROGRAM, TURN_TOKENS, 0, 0);

      assertEquals(Optional.empty(), holder.nextAppend(0));
    }

    @Test
    @DisplayName("refuses a turn if the budget is known to be exhausted")
    void knownExhausted() {
      holder.load(List.of(new Grant(PROGRAM, BUDGET_TOKENS, "vm-2/1")), 1, 0);

      assertEquals(
          ReservationResult.EXHAUSTED,
          holder.reserveOffline(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 0));
    }
  }

  @Nested
  @DisplayName("after another holder has ended in an outage of the store")
  class AfterOutage {

    private static final Grant SLICE = new Grant(PROGRAM, 3 * TURN_TOKENS, "vm-2/1");

    private final AllowancePartition ended = new AllowancePartition("vm-2/1");

    @Test
    @DisplayName("keeps counting use that was reported after the newest record")
    void olderRecordDoesNotCoverUse() {
      holder.applyReportedUsage(PROGRAM, "vm-2/1", 7 * TURN_TOKENS, 4 * TURN_TOKENS, 0);

      holder.load(List.of(SLICE), 1, 0);

      assertEquals(1, countGrantedTurns(holder));
    }

    @Test
    @DisplayName("stops counting use that a later record covers")
    void laterRecordCoversUse() {
      holder.applyReportedUsage(PROGRAM, "vm-2/1", 7 * TURN_TOKENS, 4 * TURN_TOKENS, 0);

      holder.load(List.of(new Grant(PROGRAM, 6 * TURN_TOKENS, "vm-2/1")), 1, 0);

      assertEquals(2, countGrantedTurns(holder));
    }

    @Test
    @DisplayName("counts the use that other VMs remember, once")
    void rememberedUseIsCounted() {
      holder.load(List.of(SLICE), 1, 0);
      for (int i = 0; i < 2; i++) {
        holder.applyRecoveredUse(
            PROGRAM, Map.of("vm-2/1", new ReportedUse(7 * TURN_TOKENS, 4 * TURN_TOKENS)), 0);
      }

      assertEquals(1, countGrantedTurns(holder));
    }

    @Test
    @DisplayName("records the use in the name of the ended holder")
    void useIsRecordedForEndedHolder() {
      holder.load(List.of(SLICE), 1, 0);
      holder.applyReportedUsage(PROGRAM, "vm-2/1", 7 * TURN_TOKENS, 4 * TURN_TOKENS, 0);
      holder.takeOverUse("vm-2/1"::equals);

      AllowancePartition.Append append = holder.nextAppend(0).orElseThrow();

      assertEquals(List.of(new Grant(PROGRAM, 7 * TURN_TOKENS, "vm-2/1")), append.grants());
      holder.appendSucceeded(append, 2, 0);
      assertEquals(Map.of(), holder.unrecordedUse(PROGRAM));
      assertEquals(1, countGrantedTurns(holder));
    }

    @Test
    @DisplayName("writes a record that a holder which still runs takes for its own")
    void runningHolderTakesRecordForItsOwn() {
      ended.load(List.of(SLICE), 1, 0);
      while (ended.reserveOffline(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 0)
          == ReservationResult.GRANTED) {
        // Uses its limit.
      }
      long unrecorded = ended.unrecordedTokens(PROGRAM);
      assertTrue(unrecorded > 0);

      ended.applyRecords(List.of(new Grant(PROGRAM, 3 * TURN_TOKENS + unrecorded, "vm-2/1")), 2, 0);

      assertEquals(0, ended.unrecordedTokens(PROGRAM));
    }

    @Test
    @DisplayName("assumes that the largest use from memory was forgotten if no VM remembers")
    void forgottenUseIsAssumed() {
      holder.load(List.of(SLICE), 1, 0);

      holder.assumeForgottenUse(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 0);

      assertEquals(1, countGrantedTurns(holder));
    }

    @Test
    @DisplayName("leaves a small budget whole, because the tolerance covers the forgotten turn")
    void smallBudgetStaysWhole() {
      holder.load(List.of(), 0, 0);

      holder.assumeForgottenUse(PROGRAM, 2 * TURN_TOKENS, TURN_TOKENS, 0);

      assertTrue(holder.unrecordedUse(PROGRAM).isEmpty());
    }

    @Test
    @DisplayName("divides what is left of a large budget among data centres without contact")
    void unawareDecidersShareRest() {
      long used = 0;
      for (String each : List.of("vm-1/1", "vm-2/1")) {
        AllowancePartition isolated = new AllowancePartition(each);
        isolated.load(List.of(new Grant(PROGRAM, 3 * TURN_TOKENS, "vm-3/1")), 1, 0);
        while (isolated.reserveOffline(PROGRAM, BUDGET_TOKENS, TURN_TOKENS, 2, 0)
            == ReservationResult.GRANTED) {
          used += TURN_TOKENS;
        }
      }

      assertTrue(3 * TURN_TOKENS + used <= BUDGET_TOKENS, used + " tokens besides the record");
    }

    private int countGrantedTurns(AllowancePartition at) {
      int turns = 0;
      for (int i = 0; i < 100; i++) {
        switch (reserve(at)) {
          case GRANTED -> turns++;
          case WAIT -> record(at);
          default -> {
            return turns;
          }
        }
      }
      return turns;
    }
  }
}
