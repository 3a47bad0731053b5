package io.magnoliaroute.core.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.log.AppliedSequences;
import io.magnoliaroute.core.log.RecordId;
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
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PartitionStateTest {

  private static final ProgramId PROGRAM = new ProgramId("p");
  private final RecordIdGenerator ids = new RecordIdGenerator(new WriterId(new VmId("vm-0"), 0));
  private final RecordIdGenerator otherIds =
      new RecordIdGenerator(new WriterId(new VmId("vm-1"), 0));
  private PartitionState state = new PartitionState();

  @BeforeEach
  void startProgram() {
    apply(claim(ids, 1));
    apply(start(PROGRAM, "team", Optional.empty(), "key"));
  }

  private Verdict apply(ProgramRecord record) {
    return state.apply(state.lastOffset() + 1, record);
  }

  private void assertRefused(RecordRefusal reason, ProgramRecord record) {
    assertEquals(new Verdict.Refused(reason), apply(record));
  }

  private static ProgramRecord.Claim claim(RecordIdGenerator writer, long epoch) {
    return new ProgramRecord.Claim(writer.next(), writer.writer().vm(), epoch);
  }

  private ProgramRecord.ProgramStarted start(
      ProgramId id, String team, Optional<ProgramId> parent, String clientKey) {
    return new ProgramRecord.ProgramStarted(
        ids.next(),
        1,
        id,
        new TeamId(team),
        PriorityClass.NORMAL,
        0,
        0,
        parent,
        Optional.of(clientKey));
  }

  private static ProgramRecord.TurnAppended turn(RecordIdGenerator writer, long epoch, int number) {
    Turn turn = new Turn(number, 0, Bytes.ofUtf8("q"), Bytes.ofUtf8("a"), 1, 1);
    return new ProgramRecord.TurnAppended(writer.next(), epoch, PROGRAM, turn);
  }

  private ProgramRecord.ActionIntent intent() {
    return new ProgramRecord.ActionIntent(
        ids.next(), 1, PROGRAM, "pay", 0, "payments", Bytes.ofUtf8("x"));
  }

  private ProgramRecord.ActionAbandoned abandon(RecordIdGenerator writer, RecordId intent) {
    return new ProgramRecord.ActionAbandoned(writer.next(), intent);
  }

  @Nested
  final class Turns {

    /** Guards against accepting a turn twice under two record ids, or after a gap (G1). */
    @Test
    void aTurnWithAnotherNumberThanTheNextIsRefused() {
      assertTrue(apply(turn(ids, 1, 0)).isAccepted());
      assertRefused(RecordRefusal.TURN_OUT_OF_ORDER, turn(ids, 1, 0));
      assertRefused(RecordRefusal.TURN_OUT_OF_ORDER, turn(ids, 1, 2));
    }

    /** Guards against writes by an owner after another writer has claimed the partition (G2). */
    @Test
    void aTurnOfAnEarlierEpochIsRefused() {
      apply(claim(otherIds, 2));
      assertRefused(RecordRefusal.STALE_EPOCH, turn(ids, 1, 0));
      assertTrue(apply(turn(otherIds, 2, 0)).isAccepted());
    }

    /** Guards against two owners in the same epoch. */
    @Test
    void ofTwoClaimsOfOneEpochTheFirstIsInForce() {
      assertRefused(RecordRefusal.STALE_EPOCH, claim(otherIds, 1));
      assertRefused(RecordRefusal.STALE_EPOCH, turn(otherIds, 1, 0));
    }

    /** Guards against ending a program as idle while a new turn is being appended. */
    @Test
    void lapseWithAnOutdatedTurnCountIsRefused() {
      apply(turn(ids, 1, 0));
      assertRefused(
          RecordRefusal.TURNS_ADDED,
          new ProgramRecord.ProgramEnded(ids.next(), 1, PROGRAM, EndReason.LAPSED, 0));
    }
  }

  @Nested
  final class Starts {

    /** Guards against starting two programs when a client repeats a start call. */
    @Test
    void secondStartWithTheSameClientKeyReturnsTheFirstProgram() {
      Verdict verdict = apply(start(new ProgramId("p2"), "team", Optional.empty(), "key"));
      assertEquals(new Verdict.AlreadyStarted(PROGRAM), verdict);
    }

    /** Guards against sub-agents that outlive their parent or have a parent of another team. */
    @Test
    void subAgentRequiresALiveParentOfItsTeam() {
      ProgramId child = new ProgramId("c");
      assertRefused(
          RecordRefusal.PARENT_OF_OTHER_TEAM, start(child, "team2", Optional.of(PROGRAM), "k"));
      assertRefused(RecordRefusal.PARENT_UNKNOWN, start(child, "team", Optional.of(child), "k"));
      apply(new ProgramRecord.ProgramEnded(ids.next(), 1, PROGRAM, EndReason.ENDED, 0));
      assertRefused(RecordRefusal.PARENT_ENDED, start(child, "team", Optional.of(PROGRAM), "k"));
    }
  }

  @Nested
  final class Intents {

    /** Guards against an intent that is sent or holds its key after NOT_RUN was reported (G6). */
    @Test
    void anAbandonedIntentIsVoidWheneverItLands() {
      ProgramRecord.ActionIntent late = intent();
      assertTrue(apply(abandon(ids, late.id())).isAccepted());
      assertFalse(apply(late).isAccepted());
      assertTrue(state.action(PROGRAM, "pay").isEmpty());
    }

    /** Guards against releasing the key of an intent that may have been sent (G7). */
    @Test
    void anAbandonByAnotherWriterDoesNotVoidTheIntent() {
      ProgramRecord.ActionIntent first = intent();
      apply(first);
      apply(claim(otherIds, 2));
      assertRefused(RecordRefusal.NOT_THE_WRITER, abandon(otherIds, first.id()));
      assertTrue(state.action(PROGRAM, "pay").isPresent());
    }

    /** Guards against a repeated append that restores an abandoned intent. */
    @Test
    void aRepeatOfAVoidIntentHasNoEffect() {
      ProgramRecord.ActionIntent first = intent();
      apply(first);
      apply(abandon(ids, first.id()));
      assertEquals(new Verdict.Duplicate(), apply(first));
      assertTrue(state.openIntents().isEmpty());
    }
  }

  @Nested
  final class Snapshots {

    /** Guards against an old snapshot that reverts turns (G2). */
    @Test
    void aSnapshotOfEarlierOffsetsChangesNothing() {
      long asOf = state.lastOffset();
      List<SnapshotEntry> old = state.entries();
      apply(turn(ids, 1, 0));
      assertFalse(state.restore(asOf, old));
      assertEquals(1, state.program(PROGRAM).orElseThrow().nextTurnNumber());
    }

    /** Guards against snapshots that omit a part of the state, such as the applied record ids. */
    @Test
    void aRestoredStateDecidesAsTheOriginalDoes() {
      ProgramRecord.ActionIntent first = intent();
      apply(first);
      apply(abandon(ids, first.id()));
      PartitionState restored = new PartitionState();
      assertTrue(restored.restore(state.lastOffset(), state.entries()));
      assertEquals(state.entries(), restored.entries());
      state = restored;
      assertEquals(new Verdict.Duplicate(), apply(first));
      assertEquals(
          new Verdict.AlreadyStarted(PROGRAM),
          apply(start(new ProgramId("p2"), "team", Optional.empty(), "key")));
    }
  }

  /** Guards against memory growth caused by record ids that are never appended. */
  @Test
  void sequencesWithGapsAreBoundedAndNewOnesAreStillAccepted() {
    AppliedSequences appliedSequences = new AppliedSequences();
    for (long sequence = 0; sequence < 10_000; sequence += 2) {
      assertTrue(appliedSequences.add(sequence));
      assertFalse(appliedSequences.add(sequence));
    }
    assertEquals(2 * AppliedSequences.MAX_RANGES, appliedSequences.ranges().size());
  }
}
