package io.magnoliaroute.core.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.log.RecordIdGenerator;
import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HistoryBufferTest {

  private static final ProgramId PROGRAM = new ProgramId("p");
  private final RecordIdGenerator ids = new RecordIdGenerator(new WriterId(new VmId("vm-0"), 0));
  private final PartitionState state = new PartitionState();
  private final HistoryBuffer buffer = new HistoryBuffer(100, 2);

  @BeforeEach
  void startProgram() {
    state.apply(0, new ProgramRecord.Claim(ids.next(), new VmId("vm-0"), 1));
    state.apply(
        1,
        new ProgramRecord.ProgramStarted(
            ids.next(),
            1,
            PROGRAM,
            new TeamId("team"),
            PriorityClass.NORMAL,
            0,
            0,
            Optional.empty(),
            Optional.empty()));
  }

  private static Turn turn(int number, String content) {
    return new Turn(number, 0, Bytes.ofUtf8(content), Bytes.ofUtf8("a"), 1, 1);
  }

  private void reserveAndHold(int number) {
    assertTrue(buffer.reserve(0, PROGRAM, 10).succeeded());
    UnloggedTurn completed = new UnloggedTurn(0, PROGRAM, turn(number, "q" + number));
    assertTrue(buffer.hold(completed, 0).succeeded());
  }

  /** Guards against unbounded growth of unlogged history while the log is unavailable. */
  @Test
  void reservationsBeyondTheLimitsAreRefused() {
    assertEquals(HoldResult.TOO_MANY_BYTES, buffer.reserve(0, PROGRAM, 101));
    reserveAndHold(0);
    reserveAndHold(1);
    assertEquals(HoldResult.TOO_MANY_TURNS, buffer.reserve(0, PROGRAM, 1));
    assertEquals(6, buffer.usedBytes());
  }

  /** Guards against lost or reordered turns when the log becomes available again. */
  @Test
  void bufferedTurnsAreWrittenInOrderAndRemovedWhenReadBack() {
    reserveAndHold(0);
    reserveAndHold(1);
    List<ProgramRecord.TurnAppended> records = buffer.flush(0, 1, ids);
    assertEquals(List.of(), buffer.flush(0, 1, ids));
    for (ProgramRecord.TurnAppended record : records) {
      long offset = state.lastOffset() + 1;
      Verdict verdict = state.apply(offset, record);
      buffer.onApplied(new AppliedRecord(offset, record, verdict), state);
    }
    assertEquals(2, state.program(PROGRAM).orElseThrow().nextTurnNumber());
    assertEquals(0, buffer.heldTurns());
    assertEquals(0, buffer.usedBytes());
  }

  /** Guards against merging turns with those of another epoch without reporting the conflict. */
  @Test
  void conflictingTurnsAreReportedWithAllLaterTurns() {
    reserveAndHold(0);
    reserveAndHold(1);
    state.apply(2, new ProgramRecord.TurnAppended(ids.next(), 1, PROGRAM, turn(0, "other")));
    List<TurnConflict.Kind> kinds =
        buffer.reconcile(0, state).stream().map(TurnConflict::kind).toList();
    assertEquals(
        List.of(TurnConflict.Kind.DIFFERENT_CONTENT, TurnConflict.Kind.AFTER_CONFLICT), kinds);
    assertEquals(0, buffer.heldTurns());
  }

  /** Guards against adding a turn from another VM to a history on which it is not based. */
  @Test
  void turnsFromAPeerAreAddedUpToTheFirstConflict() {
    state.apply(2, new ProgramRecord.TurnAppended(ids.next(), 1, PROGRAM, turn(0, "q0")));
    List<Turn> offered = List.of(turn(0, "q0"), turn(1, "q1"), turn(3, "q3"));
    List<TurnConflict> conflicts = buffer.offer(0, PROGRAM, offered, state);
    assertEquals(List.of(turn(1, "q1")), buffer.bufferedTurns(PROGRAM));
    assertEquals(
        List.of(new TurnConflict(PROGRAM, turn(3, "q3"), TurnConflict.Kind.NO_ROOM)), conflicts);
  }

  /**
   * Guards against adding the response of a running call after another history replaced the one on
   * which the call is based (G1).
   */
  @Test
  void conflictWithdrawsTheReservationOfARunningCall() {
    reserveAndHold(0);
    assertTrue(buffer.reserve(0, PROGRAM, 10).succeeded());
    state.apply(2, new ProgramRecord.TurnAppended(ids.next(), 1, PROGRAM, turn(0, "other")));
    buffer.reconcile(0, state);
    assertEquals(HoldResult.OUT_OF_ORDER, buffer.reserve(0, PROGRAM, 10));
    UnloggedTurn completed = new UnloggedTurn(0, PROGRAM, turn(1, "q1"));
    assertEquals(HoldResult.NOT_RESERVED, buffer.hold(completed, 1));
    assertTrue(buffer.reserve(0, PROGRAM, 10).succeeded());
  }
}
