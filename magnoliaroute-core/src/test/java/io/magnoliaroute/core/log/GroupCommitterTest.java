package io.magnoliaroute.core.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class GroupCommitterTest {

  private static final CommitLimits LIMITS = new CommitLimits(2, 1_000, 4, 400, 100, 50, 200);

  private final RecordIdGenerator ids = new RecordIdGenerator(new WriterId(new VmId("vm-0"), 0));
  private final GroupCommitter committer =
      new GroupCommitter("program-0", LIMITS, new SplittableRandom(1));

  private RecordId add() {
    LogRecord record = new LogRecord(ids.next(), 1, Bytes.ofUtf8("body"));
    assertEquals(AddResult.ACCEPTED, committer.add(record, 0));
    return record.id();
  }

  @Nested
  final class WithABatchInFlight {

    /** Guards against two batches in flight, which the log could append out of order. */
    @Test
    void nextBatchWaitsForAcknowledgementAndInterval() {
      RecordId first = add();
      Batch batch = committer.next(0).orElseThrow();
      RecordId second = add();
      assertTrue(committer.next(1_000).isEmpty());
      committer.recordAppended(batch, 0);
      assertTrue(committer.next(99).isEmpty());
      assertEquals(List.of(first), batch.ids());
      assertEquals(List.of(second), committer.next(100).orElseThrow().ids());
    }

    /**
     * Guards against a retry under new record ids, and against a retry that grows while
     * acknowledgements are lost.
     */
    @Test
    void timedOutBatchIsRetriedWithoutNewRecords() {
      RecordId first = add();
      Batch batch = committer.next(0).orElseThrow();
      add();
      committer.recordFailure(batch, LogException.Kind.TIMED_OUT, 10);
      Batch retry = committer.next(1_000).orElseThrow();
      assertEquals(List.of(first), retry.ids());
      assertEquals(batch.payloads(), retry.payloads());
      assertEquals(1, committer.counters(1_000).retries());
    }

    /** Guards against endless retries of a record that was read back. */
    @Test
    void recordThatWasReadBackIsNotRetried() {
      add();
      Batch batch = committer.next(0).orElseThrow();
      RecordId second = add();
      committer.recordFailure(batch, LogException.Kind.TIMED_OUT, 10);
      committer.recordReadBack(batch.ids().get(0));
      assertEquals(List.of(second), committer.next(1_000).orElseThrow().ids());
    }

    /** Guards against a NOT_RUN outcome for a record that may still be appended (G6). */
    @Test
    void abandonedRecordMayLandUnlessEveryAppendWasRefused() {
      RecordId refused = add();
      Batch batch = committer.next(0).orElseThrow();
      committer.recordFailure(batch, LogException.Kind.UNAVAILABLE, 0);
      assertEquals(AbandonResult.NEVER_APPENDED, committer.abandon(refused));
      RecordId timedOut = add();
      Batch second = committer.next(1_000).orElseThrow();
      assertEquals(List.of(timedOut), second.ids());
      committer.recordFailure(second, LogException.Kind.TIMED_OUT, 1_000);
      Batch third = committer.next(2_000).orElseThrow();
      committer.recordFailure(third, LogException.Kind.UNAVAILABLE, 2_000);
      assertEquals(AbandonResult.MAY_LAND, committer.abandon(timedOut));
      assertEquals(AbandonResult.NOT_HELD, committer.abandon(timedOut));
    }
  }

  /** Guards against unbounded memory use while the log is unavailable. */
  @Test
  void recordsBeyondLimitsAreRefused() {
    for (int i = 0; i < 4; i++) {
      add();
    }
    LogRecord record = new LogRecord(ids.next(), 1, Bytes.ofUtf8("body"));
    assertEquals(AddResult.TOO_MANY_RECORDS, committer.add(record, 0));
    Batch batch = committer.next(0).orElseThrow();
    committer.recordAppended(batch, 0);
    LogRecord large = new LogRecord(ids.next(), 1, Bytes.copyOf(new byte[400]));
    assertEquals(AddResult.TOO_MANY_BYTES, committer.add(large, 0));
    assertEquals(2, committer.counters(50).refused());
    assertEquals(50, committer.counters(50).oldestPendingAgeMs());
  }
}
