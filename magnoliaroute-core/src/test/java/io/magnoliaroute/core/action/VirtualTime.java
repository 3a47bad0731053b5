package io.magnoliaroute.core.action;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A single-threaded event queue in virtual time, with the seeded source of all random choices.
 * Events with equal times run in insertion order.
 */
final class VirtualTime {

  private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final SplittableRandom random;
  private long nowMs;
  private long order;

  VirtualTime(long seed) {
    this.random = new SplittableRandom(seed);
  }

  long nowMs() {
    return nowMs;
  }

  void schedule(long delayMs, Runnable step) {
    events.add(new Event(nowMs + delayMs, order++, step));
  }

  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event next = events.poll();
      nowMs = next.atMs();
      next.action().run();
    }
    nowMs = endMs;
  }

  boolean randomBoolean(double probability) {
    return random.nextDouble() < probability;
  }

  long randomBetween(long minMs, long maxMs) {
    return random.nextLong(minMs, maxMs + 1);
  }

  int randomIndex(int size) {
    return random.nextInt(size);
  }

  SplittableRandom splitRandom() {
    return random.split();
  }
}
