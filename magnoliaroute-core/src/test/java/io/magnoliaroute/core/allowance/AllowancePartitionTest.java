package io.magnoliaroute.core.allowance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against programs that use more tokens than their budget plus one turn. */
@DisplayName("A holder's view of the budgets in a partition")
class AllowancePartitionTest {

  private static final long TURN = 100;
  private static final long BUDGET = 800;
  private static final String PROGRAM = "p1";

  private final AllowancePartition holder = new AllowancePartition("vm-1/1");

  private ReservationResult reserve(AllowancePartition at) {
    return at.reserve(PROGRAM, BUDGET, TURN, 0);
  }

  private static void record(AllowancePartition at) {
    AllowancePartition.Append append = at.nextAppend(0).orElseThrow();
    at.appendSucceeded(append, append.expectedEnd() + append.grants().size(), 0);
  }

  @Nested
  @DisplayName("with the store")
  class WithTheStore {

    @Test
    @DisplayName("lets the first turn of a program wait until its slice has been recorded")
    void firstTurnWaits() {
      holder.load(List.of(), 0, 0);

      assertEquals(ReservationResult.WAIT, reserve(holder));
      assertEquals(
          List.of(new Grant(PROGRAM, 3 * TURN, "vm-1/1")),
          holder.nextAppend(0).orElseThrow().grants());
    }

    @Test
    @DisplayName("runs turns inside a recorded slice without further records")
    void insideSlice() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);

      assertEquals(ReservationResult.GRANTED, reserve(holder));
      assertEquals(ReservationResult.GRANTED, reserve(holder));
      assertTrue(holder.nextAppend(0).isEmpty());
    }

    @Test
    @DisplayName("asks for the next slice before the last one is spent")
    void asksAhead() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);
      reserve(holder);
      reserve(holder);
      assertTrue(holder.nextAppend(0).isEmpty());

      reserve(holder);

      assertEquals(6 * TURN, holder.nextAppend(0).orElseThrow().grants().get(0).grantedTokens());
    }

    @Test
    @DisplayName("refuses a turn that the budget does not hold")
    void exhausted() {
      holder.load(List.of(new Grant(PROGRAM, BUDGET - 50, "vm-2/1")), 1, 0);

      assertEquals(ReservationResult.EXHAUSTED, reserve(holder));
    }

    @Test
    @DisplayName("counts what a turn handed out, not what it reserved, once the turn has ended")
    void settles() {
      holder.load(List.of(), 0, 0);
      int granted = 0;
      ReservationResult decision = reserve(holder);
      for (int attempts = 0; decision != ReservationResult.EXHAUSTED; attempts++) {
        assertTrue(attempts < 100, "still granted after " + granted + " turns");
        if (decision == ReservationResult.GRANTED) {
          granted++;
          holder.settle(PROGRAM, TURN, TURN / 4, 0);
        }
        holder.nextAppend(0).ifPresent(a -> holder.appendSucceeded(a, a.expectedEnd() + 1, 0));
        decision = reserve(holder);
      }

      // Each turn uses a quarter of its reservation; the last one must still fit in full.
      assertEquals(29, granted);
    }

    @Test
    @DisplayName("has one append under way at a time")
    void oneAppend() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      assertTrue(holder.nextAppend(0).isPresent());

      assertTrue(holder.nextAppend(0).isEmpty());
      holder.appendFailed();
      assertTrue(holder.nextAppend(0).isPresent());
    }

    @Test
    @DisplayName("drops the record of a program that has not been used for long")
    void dropsUnused() {
      holder.load(List.of(new Grant("old", 10, "vm-2/1")), 1, 0);
      holder.reserve(PROGRAM, BUDGET, TURN, AllowancePartition.RETENTION_MS);

      AllowancePartition.Append append =
          holder.nextAppend(AllowancePartition.RETENTION_MS).orElseThrow();

      assertEquals(List.of("old"), append.expiredPrograms());
      holder.appendSucceeded(append, 3, AllowancePartition.RETENTION_MS);
      assertFalse(holder.isKnown("old"));
    }
  }

  @Nested
  @DisplayName("beside another holder")
  class BesideAnotherHolder {

    private final AllowancePartition other = new AllowancePartition("vm-2/1");

    @Test
    @DisplayName("counts a slice of the other holder as spent")
    void otherSliceIsSpent() {
      holder.load(List.of(), 0, 0);
      other.load(List.of(), 0, 0);
      reserve(holder);
      AllowancePartition.Append first = holder.nextAppend(0).orElseThrow();
      holder.appendSucceeded(first, 1, 0);

      other.applyRecords(first.grants(), 1, 0);
      other.reserve(PROGRAM, BUDGET, TURN, 0);

      assertEquals(6 * TURN, other.nextAppend(0).orElseThrow().grants().get(0).grantedTokens());
    }

    @Test
    @DisplayName("takes its own record that it had given up for lost")
    void ownLateRecord() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      AllowancePartition.Append lost = holder.nextAppend(0).orElseThrow();

      holder.applyRecords(lost.grants(), 1, 0);

      assertEquals(ReservationResult.GRANTED, reserve(holder));
      assertEquals(ReservationResult.GRANTED, reserve(holder));
      assertEquals(1, holder.end());
    }

    @Test
    @DisplayName("names the other holder of a slice, which still grants turns inside it")
    void otherHolderOfSlice() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);
      other.load(List.of(new Grant(PROGRAM, 3 * TURN, "vm-1/1")), 1, 0);

      assertEquals(Optional.of("vm-1/1"), other.otherGranter(PROGRAM));
      assertEquals(Optional.empty(), holder.otherGranter(PROGRAM));
      for (int turn = 0; turn < 3; turn++) {
        assertEquals(ReservationResult.GRANTED, holder.reserveFromOwnSlices(PROGRAM, TURN, 0));
      }
      assertEquals(ReservationResult.EXHAUSTED, holder.reserveFromOwnSlices(PROGRAM, TURN, 0));
      assertEquals(ReservationResult.EXHAUSTED, other.reserveFromOwnSlices(PROGRAM, TURN, 0));
    }

    @Test
    @DisplayName("gives back what it has not spent when it leaves")
    void release() {
      holder.load(List.of(), 0, 0);
      reserve(holder);
      record(holder);

      reserve(holder);

      assertEquals(List.of(new Grant(PROGRAM, TURN, "vm-1/1")), holder.release());
    }
  }

  @Nested
  @DisplayName("without the store")
  class WithoutTheStore {

    @Test
    @DisplayName("runs one turn of a program with a small budget from memory, then no more")
    void oneTurn() {
      assertEquals(ReservationResult.GRANTED, holder.reserveOffline(PROGRAM, 3 * TURN, TURN, 0));
      assertEquals(ReservationResult.WAIT, holder.reserveOffline(PROGRAM, 3 * TURN, TURN, 0));
    }

    @Test
    @DisplayName("adds no more than one turn to what is recorded elsewhere, though turns are short")
    void shortTurns() {
      long delivered = 3 * TURN;
      while (delivered < 10 * TURN
          && holder.reserveOffline(PROGRAM, 3 * TURN, TURN, 0) == ReservationResult.GRANTED) {
        // All turns but the last deliver less than they reserve; the last may deliver its maximum.
        holder.settle(PROGRAM, TURN, TURN * 2 / 5, 0);
        delivered += TURN * 2 / 5;
        if (delivered > 3 * TURN) {
          delivered +=
              holder.reserveOffline(PROGRAM, 3 * TURN, TURN, 0) == ReservationResult.GRANTED
                  ? TURN
                  : 0;
        }
      }

      assertTrue(delivered <= 3 * TURN + TURN, "delivered " + delivered);
    }

    @Test
    @DisplayName("stays within a budget of three turns and one when four data centres decide alone")
    void fourSides() {
      long delivered = 0;
      for (int dataCentre = 0; dataCentre < 4; dataCentre++) {
        AllowancePartition isolated = new AllowancePartition("vm-" + dataCentre + "/1");
        while (isolated.reserveOffline(PROGRAM, 3 * TURN, TURN, 0) == ReservationResult.GRANTED) {
          delivered += TURN;
        }
      }

      assertTrue(delivered <= 4 * TURN, "delivered " + delivered);
    }

    @Test
    @DisplayName("runs half of a large budget from memory")
    void halfOfLargeBudget() {
      int granted = 0;
      while (holder.reserveOffline(PROGRAM, 40 * TURN, TURN, 0) == ReservationResult.GRANTED) {
        granted++;
      }

      assertEquals(20, granted);
    }

    @Test
    @DisplayName("counts the slices of other holders that it read before the store went away")
    void loadedBefore() {
      holder.load(List.of(new Grant(PROGRAM, 3 * TURN, "vm-2/1")), 1, 0);

      assertEquals(ReservationResult.EXHAUSTED, holder.reserveOffline(PROGRAM, 3 * TURN, TURN, 0));
    }

    @Test
    @DisplayName("counts what other VMs have told of the program")
    void told() {
      holder.applyReportedUsage(PROGRAM, "vm-2/1", BUDGET - TURN, 0, 0);

      assertEquals(ReservationResult.GRANTED, holder.reserveOffline(PROGRAM, BUDGET, TURN, 0));
      assertEquals(ReservationResult.EXHAUSTED, holder.reserveOffline(PROGRAM, BUDGET, TURN, 0));
    }

    @Test
    @DisplayName("counts the turn that another VM ran from memory before it stopped")
    void ranElsewhere() {
      holder.applyReportedUsage(PROGRAM, "vm-2/1", TURN, TURN, 0);

      assertEquals(ReservationResult.WAIT, holder.reserveOffline(PROGRAM, 2 * TURN, TURN, 0));
    }

    @Test
    @DisplayName("leaves room for the turn that another VM has run from memory and not recorded")
    void roomForOthers() {
      holder.load(List.of(), 0, 0);
      holder.applyReportedUsage(PROGRAM, "vm-2/1", TURN, TURN, 0);
      assertEquals(ReservationResult.WAIT, holder.reserve(PROGRAM, 3 * TURN, TURN, 0));
      record(holder);

      assertEquals(ReservationResult.GRANTED, holder.reserve(PROGRAM, 3 * TURN, TURN, 0));
      assertEquals(ReservationResult.GRANTED, holder.reserve(PROGRAM, 3 * TURN, TURN, 0));
      assertEquals(ReservationResult.EXHAUSTED, holder.reserve(PROGRAM, 3 * TURN, TURN, 0));
    }

    @Test
    @DisplayName("counts the turn of another VM once when its record has come")
    void recordOfTheOther() {
      holder.load(List.of(), 0, 0);
      holder.applyReportedUsage(PROGRAM, "vm-2/1", TURN, TURN, 0);
      holder.applyRecords(List.of(new Grant(PROGRAM, TURN, "vm-2/1")), 1, 0);

      assertEquals(ReservationResult.WAIT, holder.reserve(PROGRAM, 4 * TURN, TURN, 0));
      assertEquals(4 * TURN, holder.nextAppend(0).orElseThrow().grants().get(0).grantedTokens());
    }

    @Test
    @DisplayName("records what ran from memory once the store is back")
    void recordsLater() {
      holder.reserveOffline(PROGRAM, BUDGET, TURN, 0);
      holder.reserveOffline(PROGRAM, BUDGET, TURN, 0);
      assertEquals(Optional.empty(), holder.nextAppend(0));

      holder.load(List.of(), 0, 0);

      assertEquals(2 * TURN, holder.nextAppend(0).orElseThrow().grants().get(0).grantedTokens());
    }

    @Test
    @DisplayName("records no more than what short turns handed out, so that others can go on")
    void recordsWhatWasHandedOut() {
      holder.reserveOffline(PROGRAM, BUDGET, TURN, 0);
      holder.settle(PROGRAM, TURN, 7, 0);
      holder.load(List.of(), 0, 0);

      assertEquals(7, holder.nextAppend(0).orElseThrow().grants().get(0).grantedTokens());
    }

    @Test
    @DisplayName("records nothing for a turn that it did not grant")
    void nothingForWithheld() {
      holder.load(List.of(), 0, 0);
      holder.reserveOffline(PROGRAM, 3 * TURN, TURN, 0);
      holder.settle(PROGRAM, TURN, 0, 0);
      holder.reserveOffline(PROGRAM, 3 * TURN, TURN, 0);
      assertEquals(ReservationResult.WAIT, holder.reserveOffline(PROGRAM, 3 * TURN, TURN, 0));
      holder.settle(PROGRAM, TURN, 0, 0);

      assertEquals(Optional.empty(), holder.nextAppend(0));
    }

    @Test
    @DisplayName("refuses a program that is known to have spent its budget")
    void knownExhausted() {
      holder.load(List.of(new Grant(PROGRAM, BUDGET, "vm-2/1")), 1, 0);

      assertEquals(ReservationResult.EXHAUSTED, holder.reserveOffline(PROGRAM, BUDGET, TURN, 0));
    }
  }
}
