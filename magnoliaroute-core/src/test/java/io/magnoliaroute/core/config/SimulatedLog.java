package io.magnoliaroute.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/** A log under virtual time with outages, late and repeated appends, and retention. */
public final class SimulatedLog<R> {

  private static final int LATE_IN = 12;
  private static final int TWICE_IN = 8;

  private final Random random;
  private final long retentionMs;
  private final long lateMs;
  private final List<R> records = new ArrayList<>();
  private final List<Long> landedMs = new ArrayList<>();
  private final TreeMap<Long, List<R>> inFlight = new TreeMap<>();
  private long nowMs;
  private long outageUntilMs;
  private int firstRetained;

  /** Makes an empty log; appends that are late land within {@code lateMs}. */
  public SimulatedLog(Random random, long retentionMs, long lateMs) {
    this.random = random;
    this.retentionMs = retentionMs;
    this.lateMs = lateMs;
  }

  /** Starts an append; it lands later, sometimes twice, and during an outage perhaps never. */
  public void append(R appended) {
    boolean lost = down() && random.nextBoolean();
    if (lost) {
      return;
    }
    land(appended);
    if (random.nextInt(TWICE_IN) == 0) {
      land(appended);
    }
  }

  private void land(R appended) {
    long delayMs = 20L + random.nextInt(200);
    if (random.nextInt(LATE_IN) == 0) {
      delayMs += (long) (random.nextDouble() * lateMs);
    }
    long atMs = Math.max(nowMs, outageUntilMs) + delayMs;
    inFlight.computeIfAbsent(atMs, t -> new ArrayList<>()).add(appended);
  }

  /** Advances to the time, lands what is due and drops what the retention passed. */
  public void advanceTo(long timeMs) {
    nowMs = timeMs;
    while (!inFlight.isEmpty() && inFlight.firstKey() <= timeMs) {
      long atMs = inFlight.firstKey();
      for (R landed : inFlight.remove(atMs)) {
        records.add(landed);
        landedMs.add(atMs);
      }
    }
    while (firstRetained < records.size() && landedMs.get(firstRetained) < nowMs - retentionMs) {
      firstRetained++;
    }
  }

  /** Makes the log unreachable until the time. */
  public void failUntil(long timeMs) {
    outageUntilMs = timeMs;
  }

  /** Returns whether the log is unreachable. */
  public boolean down() {
    return nowMs < outageUntilMs;
  }

  /** Returns the oldest offset kept. */
  public int firstRetained() {
    return firstRetained;
  }

  /** Returns the offset after the last record. */
  public int end() {
    return records.size();
  }

  /** Returns the record at the offset, for the checker also after the retention. */
  public R get(int offset) {
    return records.get(offset);
  }
}
