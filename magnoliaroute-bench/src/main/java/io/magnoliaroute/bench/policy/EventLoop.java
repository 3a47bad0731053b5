package io.magnoliaroute.bench.policy;

import java.util.PriorityQueue;

/** Runs actions in order of virtual time; actions at the same time run in insertion order. */
final class EventLoop {

  private static final long MICROS_PER_MS = 1_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMicros;
  private long lastSequence;

  long nowMicros() {
    return nowMicros;
  }

  long nowMs() {
    return nowMicros / MICROS_PER_MS;
  }

  void scheduleAtMs(long timeMs, Runnable action) {
    add(timeMs * MICROS_PER_MS, action);
  }

  void scheduleAfterMs(long delayMs, Runnable action) {
    add(nowMicros + delayMs * MICROS_PER_MS, action);
  }

  void scheduleAfterMicros(long delayMicros, Runnable action) {
    add(nowMicros + delayMicros, action);
  }

  void run() {
    for (Event next = events.poll(); next != null; next = events.poll()) {
      nowMicros = next.timeMicros;
      next.action.run();
    }
  }

  private void add(long timeMicros, Runnable action) {
    events.add(new Event(Math.max(timeMicros, nowMicros), ++lastSequence, action));
  }

  private record Event(long timeMicros, long sequence, Runnable action)
      implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeMicros, other.timeMicros);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
