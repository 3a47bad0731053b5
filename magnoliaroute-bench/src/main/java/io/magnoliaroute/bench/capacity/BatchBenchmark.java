package io.magnoliaroute.bench.capacity;

import io.magnoliaroute.core.log.Batch;
import io.magnoliaroute.core.log.CommitLimits;
import io.magnoliaroute.core.log.GroupCommitter;
import io.magnoliaroute.core.log.LogRecord;
import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.RecordIdGenerator;
import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/** Measures group commit in virtual time: batch size and added delay by the rate of records. */
final class BatchBenchmark {

  private static final int[] RECORDS_PER_SECOND = {1, 10, 44, 100, 440, 1_000, 4_400};
  private static final long RUN_DURATION_MS = 60_000;
  private static final long SEED = 7;
  private static final int RECORD_BYTES = 2_100;
  private static final long APPEND_LATENCY_MS = 10;

  private BatchBenchmark() {}

  static void run(PrintStream out) {
    out.printf(
        "one stream, 10 batches a second, append takes %d ms, records of %d bytes%n",
        APPEND_LATENCY_MS, RECORD_BYTES);
    out.printf(
        "%10s %12s %12s %14s %14s %10s%n",
        "records/s", "appends/s", "batch mean", "delay mean ms", "delay p99 ms", "refused");
    for (int rate : RECORDS_PER_SECOND) {
      measure(rate, out);
    }
  }

  private static void measure(int recordsPerSecond, PrintStream out) {
    SplittableRandom random = new SplittableRandom(SEED);
    GroupCommitter committer =
        new GroupCommitter("program-0", CommitLimits.defaults(), random.split());
    RecordIdGenerator ids = new RecordIdGenerator(new WriterId(new VmId("vm-0"), 0));
    Map<RecordId, Long> addedAtMs = new HashMap<>();
    Histogram delayMs = new Histogram(RUN_DURATION_MS, 3);
    Optional<Batch> inFlight = Optional.empty();
    long appendDoneAtMs = 0;
    long offset = 0;
    for (long nowMs = 0; nowMs < RUN_DURATION_MS; nowMs++) {
      for (int arrivals = sampleArrivals(recordsPerSecond, random); arrivals > 0; arrivals--) {
        LogRecord record = new LogRecord(ids.next(), 1, Bytes.copyOf(new byte[RECORD_BYTES]));
        if (committer.add(record, nowMs).isAccepted()) {
          addedAtMs.put(record.id(), nowMs);
        }
      }
      if (inFlight.isPresent() && nowMs >= appendDoneAtMs) {
        Batch batch = inFlight.get();
        committer.recordAppended(batch, offset);
        offset += batch.ids().size();
        for (RecordId id : batch.ids()) {
          delayMs.recordValue(nowMs - addedAtMs.remove(id));
        }
        inFlight = Optional.empty();
      }
      if (inFlight.isEmpty()) {
        inFlight = committer.next(nowMs);
        appendDoneAtMs = nowMs + APPEND_LATENCY_MS;
      }
    }
    var counters = committer.counters(RUN_DURATION_MS);
    out.printf(
        "%10d %12.2f %12.1f %14.1f %14d %10d%n",
        recordsPerSecond,
        counters.batches() * 1_000.0 / RUN_DURATION_MS,
        (double) counters.records() / Math.max(1, counters.batches()),
        delayMs.getMean(),
        delayMs.getValueAtPercentile(99),
        counters.refused());
  }

  private static int sampleArrivals(int recordsPerSecond, SplittableRandom random) {
    int wholeRecords = recordsPerSecond / 1_000;
    double fraction = (recordsPerSecond % 1_000) / 1_000.0;
    return wholeRecords + (random.nextDouble() < fraction ? 1 : 0);
  }
}
