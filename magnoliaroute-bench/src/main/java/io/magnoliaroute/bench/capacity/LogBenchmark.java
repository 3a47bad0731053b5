package io.magnoliaroute.bench.capacity;

import io.magnoliaroute.core.log.LogRecordCodec;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.log.RecordIdGenerator;
import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.program.EndReason;
import io.magnoliaroute.core.program.PartitionState;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.ProgramRecordCodec;
import io.magnoliaroute.core.program.SnapshotPlanner;
import io.magnoliaroute.core.program.Turn;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;

/** Measures records of a program stream, and the partition state that is built from them. */
public final class LogBenchmark {

  private static final int REQUEST_BYTES = 1_200;
  private static final int RESPONSE_BYTES = 800;
  private static final int WARM_UP_ROUNDS = 20_000;
  private static final int ROUNDS = 20_000;
  private static final int[] HISTORY_TURNS = {5, 67};
  private static final int HEAP_PROGRAMS = 1_000;
  private static final long MAX_RECORDED_NS = 1_000_000_000L;

  private final RecordIdGenerator ids = new RecordIdGenerator(new WriterId(new VmId("vm-000"), 1));
  private final PrintStream out;

  /** Consumes all results, so that the JIT compiler cannot eliminate a measured step. */
  private int checksum;

  private LogBenchmark(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs all measurements and prints their results.
   *
   * @throws MalformedRecordException if an encoded record cannot be decoded
   */
  public static void run(PrintStream out) throws MalformedRecordException {
    LogBenchmark benchmark = new LogBenchmark(out);
    benchmark.measureRecords();
    benchmark.measureApply();
    benchmark.measureHeap();
    BatchBenchmark.run(out);
    out.println("checksum " + benchmark.checksum);
  }

  private void measureRecords() throws MalformedRecordException {
    out.printf("%-16s %8s %14s %14s%n", "record", "bytes", "encode p50 ns", "decode p50 ns");
    for (ProgramRecord record : sampleRecords()) {
      Bytes encoded = encode(record);
      Histogram encodeNs = new Histogram(MAX_RECORDED_NS, 3);
      Histogram decodeNs = new Histogram(MAX_RECORDED_NS, 3);
      for (int i = 0; i < WARM_UP_ROUNDS + ROUNDS; i++) {
        long startNs = System.nanoTime();
        checksum += encode(record).sizeBytes();
        long encodedNs = System.nanoTime();
        checksum += decode(encoded).hashCode();
        long decodedNs = System.nanoTime();
        if (i >= WARM_UP_ROUNDS) {
          encodeNs.recordValue(Math.min(MAX_RECORDED_NS, encodedNs - startNs));
          decodeNs.recordValue(Math.min(MAX_RECORDED_NS, decodedNs - encodedNs));
        }
      }
      out.printf(
          "%-16s %8d %14d %14d%n",
          record.getClass().getSimpleName(),
          encoded.sizeBytes(),
          encodeNs.getValueAtPercentile(50),
          decodeNs.getValueAtPercentile(50));
    }
  }

  /** Measures the time to apply a turn, with 1,000 and 10,000 programs in the partition state. */
  private void measureApply() {
    for (int programCount : new int[] {1_000, 10_000}) {
      PartitionState state = new PartitionState();
      long offset = startPrograms(state, programCount);
      Histogram applyNs = new Histogram(MAX_RECORDED_NS, 3);
      for (int turn = 0; turn < HISTORY_TURNS[0]; turn++) {
        for (int i = 0; i < programCount; i++) {
          ProgramRecord record = turnAppended(programId(i), turn, false);
          long startNs = System.nanoTime();
          checksum += state.apply(offset++, record).isAccepted() ? 1 : 0;
          applyNs.recordValue(Math.min(MAX_RECORDED_NS, System.nanoTime() - startNs));
        }
      }
      out.printf(
          "apply turn, %d programs: p50 %d ns, p99 %d ns%n",
          programCount, applyNs.getValueAtPercentile(50), applyNs.getValueAtPercentile(99));
    }
  }

  /** Measures heap and snapshot bytes per program, for turns with and without content. */
  private void measureHeap() {
    for (int turns : HISTORY_TURNS) {
      for (boolean withContent : new boolean[] {false, true}) {
        long heapBeforeBytes = HeapUsage.usedBytes();
        PartitionState state = new PartitionState();
        long offset = startPrograms(state, HEAP_PROGRAMS);
        for (int turn = 0; turn < turns; turn++) {
          for (int i = 0; i < HEAP_PROGRAMS; i++) {
            state.apply(offset++, turnAppended(programId(i), turn, withContent));
          }
        }
        long heapBytes = HeapUsage.usedBytes() - heapBeforeBytes;
        long startNs = System.nanoTime();
        long snapshotBytes = snapshotBytes(state);
        long snapshotNs = System.nanoTime() - startNs;
        out.printf(
            "program of %d turns, content %d bytes a turn: heap %d bytes, snapshot %d bytes,"
                + " snapshot time %d us%n",
            turns,
            withContent ? REQUEST_BYTES + RESPONSE_BYTES : 0,
            heapBytes / HEAP_PROGRAMS,
            snapshotBytes / HEAP_PROGRAMS,
            snapshotNs / 1_000 / HEAP_PROGRAMS);
      }
    }
  }

  private long snapshotBytes(PartitionState state) {
    long sizeBytes = 0;
    SnapshotPlanner planner = new SnapshotPlanner(3_600_000, 512 * 1024);
    for (ProgramRecord.Snapshot part : planner.plan(state, ids, 0)) {
      sizeBytes += encode(part).sizeBytes();
    }
    return sizeBytes;
  }

  private long startPrograms(PartitionState state, int programCount) {
    long offset = 0;
    state.apply(offset++, new ProgramRecord.Claim(ids.next(), new VmId("vm-000"), 1));
    for (int i = 0; i < programCount; i++) {
      state.apply(offset++, programStarted(programId(i)));
    }
    return offset;
  }

  private List<ProgramRecord> sampleRecords() {
    ProgramId program = programId(0);
    ProgramRecord.ActionIntent intent =
        new ProgramRecord.ActionIntent(
            ids.next(), 12, program, "order-2201-capture", 0, "payments", zeroBytes(300));
    PartitionState state = new PartitionState();
    startPrograms(state, 1);
    List<ProgramRecord> records = new ArrayList<>();
    records.add(new ProgramRecord.Claim(ids.next(), new VmId("vm-000"), 12));
    records.add(programStarted(program));
    records.add(turnAppended(program, 3, true));
    records.add(intent);
    records.add(
        new ProgramRecord.ActionOutcome(
            ids.next(), program, intent.key(), intent.id(), Outcome.DONE, zeroBytes(200)));
    records.add(new ProgramRecord.ActionAbandoned(ids.next(), intent.id()));
    records.add(new ProgramRecord.ProgramEnded(ids.next(), 12, program, EndReason.ENDED, 5));
    records.add(new ProgramRecord.Snapshot(ids.next(), 9, 0, 0, 1, state.entries()));
    return records;
  }

  private ProgramRecord.ProgramStarted programStarted(ProgramId id) {
    return new ProgramRecord.ProgramStarted(
        ids.next(),
        1,
        id,
        new TeamId("order-desk"),
        PriorityClass.NORMAL,
        1_780_000_000_000L,
        1_780_000_060_000L,
        Optional.empty(),
        Optional.empty());
  }

  private ProgramRecord.TurnAppended turnAppended(ProgramId id, int number, boolean withContent) {
    Bytes request = zeroBytes(withContent ? REQUEST_BYTES : 0);
    Bytes response = zeroBytes(withContent ? RESPONSE_BYTES : 0);
    return new ProgramRecord.TurnAppended(
        ids.next(), 1, id, new Turn(number, 0, request, response, 300, 200));
  }

  private static ProgramId programId(int number) {
    return new ProgramId(String.format("%032x", number));
  }

  private static Bytes zeroBytes(int sizeBytes) {
    return Bytes.copyOf(new byte[sizeBytes]);
  }

  private static Bytes encode(ProgramRecord record) {
    return LogRecordCodec.encode(ProgramRecordCodec.toLogRecord(record));
  }

  private static ProgramRecord decode(Bytes encoded) throws MalformedRecordException {
    return ProgramRecordCodec.fromLogRecord(LogRecordCodec.decode(encoded)).orElseThrow();
  }
}
