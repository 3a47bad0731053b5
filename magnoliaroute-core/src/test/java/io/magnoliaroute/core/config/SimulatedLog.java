package io.magnoliaroute.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/** A log in virtual time that simulates outages, late and duplicate appends, and retention. */
public final class SimulatedLog<R> {

  private static final int LATE_ODDS = 12;
  private static final int DUPLICATE_ODDS = 8;

  private final Random random;
  private final long retentionMs;
  private final long maxLateMs;
  private final List<R> records = new ArrayList<>();
  private final List<Long> appendedAtMs = new ArrayList<>();
  private final TreeMap<Long, List<R>> inFlight = new TreeMap<>();
  private long nowMs;
  private long outageUntilMs;
  private int firstRetainedOffset;

  /**
   * Creates an empty log.
   *
   * @param random the source of delays and faults
   * @param retentionMs the retention time of the records
   * @param maxLateMs the maximum additional delay of a late append
   */
  public SimulatedLog(Random random, long retentionMs, long maxLateMs) {
    this.random = random;
    this.retentionMs = retentionMs;
    this.maxLateMs = maxLateMs;
  }

  /**
   * Starts an append, which completes after a delay. Some records are appended twice, and during an
   * outage some are lost.
   */
  public void append(R logRecord) {
    boolean lost = isUnavailable() && random.nextBoolean();
    if (lost) {
      return;
    }
    scheduleAppend(logRecord);
    if (random.nextInt(DUPLICATE_ODDS) == 0) {
      scheduleAppend(logRecord);
    }
  }

  private void scheduleAppend(R logRecord) {
    long delayMs = 20L + random.nextInt(200);
    if (random.nextInt(LATE_ODDS) == 0) {
      delayMs += (long) (random.nextDouble() * maxLateMs);
    }
    long atMs = Math.max(nowMs, outageUntilMs) + delayMs;
    inFlight.computeIfAbsent(atMs, t -> new ArrayList<>()).add(logRecord);
  }

  /** Advances to the given time, completes due appends and drops expired records. */
  public void advanceTo(long timeMs) {
    nowMs = timeMs;
    while (!inFlight.isEmpty() && inFlight.firstKey() <= timeMs) {
      long atMs = inFlight.firstKey();
      for (R logRecord : inFlight.remove(atMs)) {
        records.add(logRecord);
        appendedAtMs.add(atMs);
      }
    }
    while (firstRetainedOffset < records.size()
        && appendedAtMs.get(firstRetainedOffset) < nowMs - retentionMs) {
      firstRetainedOffset++;
    }
  }

  /** Makes the log unavailable until the given time. */
  public void startOutageUntil(long timeMs) {
    outageUntilMs = timeMs;
  }

  /** Returns whether the log is unavailable. */
  public boolean isUnavailable() {
    return nowMs < outageUntilMs;
  }

  /** Returns the oldest retained offset. */
  public int firstRetainedOffset() {
    return firstRetainedOffset;
  }

  /** Returns the offset after the last record. */
  public int endOffset() {
    return records.size();
  }

  /** Returns the record at the offset. Also returns expired records, for use by checks. */
  public R get(int offset) {
    return records.get(offset);
  }
}
