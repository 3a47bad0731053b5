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

/** Measures records of a program stream and the state that they build. */
public final class LogSlopes {

  private static final int REQUEST_BYTES = 1_200;
  private static final int ANSWER_BYTES = 800;
  private static final int WARM_UP_ROUNDS = 20_000;
  private static final int ROUNDS = 20_000;
  private static final int[] HISTORY_TURNS = {5, 67};
  private static final int HEAP_PROGRAMS = 1_000;
  private static final long HIGHEST_NS = 1_000_000_000L;

  private final RecordIdGenerator ids = new RecordIdGenerator(new WriterId(new VmId("vm-000"), 1));
  private final PrintStream out;

  /** Collects results, so that no measured step can be left out. */
  private int sink;

  private LogSlopes(PrintStream out) {
    this.out = out;
  }

  /** Prints the figures of one run. */
  public static void run(PrintStream out) throws MalformedRecordException {
    LogSlopes slopes = new LogSlopes(out);
    slopes.measureRecords();
    slopes.measureApply();
    slopes.measureHeap();
    BatchSlopes.run(out);
    out.println("checksum " + slopes.sink);
  }

  private void measureRecords() throws MalformedRecordException {
    out.printf("%-16s %8s %14s %14s%n", "record", "bytes", "encode p50 ns", "decode p50 ns");
    for (ProgramRecord record : oneOfEach()) {
      Bytes encoded = encode(record);
      Histogram encodeNs = new Histogram(HIGHEST_NS, 3);
      Histogram decodeNs = new Histogram(HIGHEST_NS, 3);
      for (int i = 0; i < WARM_UP_ROUNDS + ROUNDS; i++) {
        long startNs = System.nanoTime();
        sink += encode(record).sizeBytes();
        long encodedNs = System.nanoTime();
        sink += decode(encoded).hashCode();
        long decodedNs = System.nanoTime();
        if (i >= WARM_UP_ROUNDS) {
          encodeNs.recordValue(Math.min(HIGHEST_NS, encodedNs - startNs));
          decodeNs.recordValue(Math.min(HIGHEST_NS, decodedNs - encodedNs));
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

  /** Times apply for turns, at two numbers of programs held. */
  private void measureApply() {
    for (int programs : new int[] {1_000, 10_000}) {
      PartitionState state = new PartitionState();
      long offset = start(state, programs);
      Histogram applyNs = new Histogram(HIGHEST_NS, 3);
      for (int turn = 0; turn < HISTORY_TURNS[0]; turn++) {
        for (int i = 0; i < programs; i++) {
          ProgramRecord record = turn(programId(i), turn, false);
          long startNs = System.nanoTime();
          sink += state.apply(offset++, record).isAccepted() ? 1 : 0;
          applyNs.recordValue(Math.min(HIGHEST_NS, System.nanoTime() - startNs));
        }
      }
      out.printf(
          "apply turn, %d programs: p50 %d ns, p99 %d ns%n",
          programs, applyNs.getValueAtPercentile(50), applyNs.getValueAtPercentile(99));
    }
  }

  /** Measures heap and snapshot bytes for each program, with and without the content of turns. */
  private void measureHeap() {
    for (int turns : HISTORY_TURNS) {
      for (boolean content : new boolean[] {false, true}) {
        long beforeBytes = Heap.usedBytes();
        PartitionState state = new PartitionState();
        long offset = start(state, HEAP_PROGRAMS);
        for (int turn = 0; turn < turns; turn++) {
          for (int i = 0; i < HEAP_PROGRAMS; i++) {
            state.apply(offset++, turn(programId(i), turn, content));
          }
        }
        long heapBytes = Heap.usedBytes() - beforeBytes;
        long startNs = System.nanoTime();
        long snapshotBytes = snapshotBytes(state);
        long snapshotNs = System.nanoTime() - startNs;
        out.printf(
            "program of %d turns, content %d bytes a turn: heap %d bytes, snapshot %d bytes,"
                + " snapshot time %d us%n",
            turns,
            content ? REQUEST_BYTES + ANSWER_BYTES : 0,
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

  private long start(PartitionState state, int programs) {
    long offset = 0;
    state.apply(offset++, new ProgramRecord.Claim(ids.next(), new VmId("vm-000"), 1));
    for (int i = 0; i < programs; i++) {
      state.apply(offset++, started(programId(i)));
    }
    return offset;
  }

  private List<ProgramRecord> oneOfEach() {
    ProgramId program = programId(0);
    ProgramRecord.ActionIntent intent =
        new ProgramRecord.ActionIntent(
            ids.next(), 12, program, "order-2201-capture", 0, "payments", bytes(300));
    PartitionState state = new PartitionState();
    start(state, 1);
    List<ProgramRecord> records = new ArrayList<>();
    records.add(new ProgramRecord.Claim(ids.next(), new VmId("vm-000"), 12));
    records.add(started(program));
    records.add(turn(program, 3, true));
    records.add(intent);
    records.add(
        new ProgramRecord.ActionOutcome(
            ids.next(), program, intent.key(), intent.id(), Outcome.DONE, bytes(200)));
    records.add(new ProgramRecord.ActionAbandoned(ids.next(), intent.id()));
    records.add(new ProgramRecord.ProgramEnded(ids.next(), 12, program, EndReason.ENDED, 5));
    records.add(new ProgramRecord.Snapshot(ids.next(), 9, 0, 0, 1, state.entries()));
    return records;
  }

  private ProgramRecord.ProgramStarted started(ProgramId id) {
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

  private ProgramRecord.TurnAppended turn(ProgramId id, int number, boolean content) {
    Bytes request = bytes(content ? REQUEST_BYTES : 0);
    Bytes answer = bytes(content ? ANSWER_BYTES : 0);
    return new ProgramRecord.TurnAppended(
        ids.next(), 1, id, new Turn(number, 0, request, answer, 300, 200));
  }

  private static ProgramId programId(int number) {
    return new ProgramId(String.format("%032x", number));
  }

  private static Bytes bytes(int sizeBytes) {
    return Bytes.copyOf(new byte[sizeBytes]);
  }

  private static Bytes encode(ProgramRecord record) {
    return LogRecordCodec.encode(ProgramRecordCodec.toLogRecord(record));
  }

  private static ProgramRecord decode(Bytes encoded) throws MalformedRecordException {
    return ProgramRecordCodec.fromLogRecord(LogRecordCodec.decode(encoded)).orElseThrow();
  }
}
