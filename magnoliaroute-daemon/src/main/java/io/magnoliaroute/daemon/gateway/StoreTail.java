package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreException;
import io.vertx.core.Vertx;
import java.util.random.RandomGenerator;

/** Tails one partition of a topic in the store: reads a listing, then each new record. */
final class StoreTail {

  /** A tail whose calls fail for longer than this may lack changes that other VMs have read. */
  private static final long BEHIND_AFTER_MS = 300;

  private static final long FIRST_RETRY_MS = 100;
  private static final long MAX_RETRY_MS = 250;

  private final Vertx vertx;
  private final StoreClient store;
  private final StoreHealth health;
  private final RandomGenerator random;
  private final String topic;
  private final PollTiming timing;
  private final Listener listener;
  private long nextOffset = -1;
  private long retryMs = FIRST_RETRY_MS;
  private long failingSinceMs = Long.MAX_VALUE;

  /**
   * Timing of the reads.
   *
   * @param waitMs how long the store may hold a read that finds no records (long poll)
   * @param pauseMs the pause between a response and the next read
   */
  record PollTiming(long waitMs, long pauseMs) {}

  /** Receives the records that the tail reads. */
  interface Listener {

    /** Handles a complete listing; keys that are not in it have been removed. */
    void onListing(StoreClient.Listing listing);

    /** Handles new records. */
    void onRecords(StoreClient.Page page);
  }

  StoreTail(
      Vertx vertx,
      StoreClient store,
      StoreHealth health,
      RandomGenerator random,
      String topic,
      PollTiming timing,
      Listener listener) {
    this.vertx = vertx;
    this.store = store;
    this.health = health;
    this.random = random;
    this.topic = topic;
    this.timing = timing;
    this.listener = listener;
  }

  void start() {
    list();
  }

  private void list() {
    long startedMs = health.nowMs();
    store
        .listNewest(topic, 0)
        .onSuccess(
            listing -> {
              recordSuccess();
              // A listing that ends before the next offset is older than records already read.
              if (listing.end() >= nextOffset) {
                nextOffset = listing.end();
                deliverThenRead(() -> listener.onListing(listing), 0);
              } else {
                read();
              }
            })
        .onFailure(e -> retry(e, startedMs, this::list));
  }

  private void read() {
    long startedMs = health.nowMs();
    store
        .read(topic, 0, nextOffset, timing.waitMs())
        .onSuccess(
            page -> {
              recordSuccess();
              boolean hasNew = page.nextOffset() > nextOffset;
              nextOffset = Math.max(nextOffset, page.nextOffset());
              deliverThenRead(hasNew ? () -> listener.onRecords(page) : () -> {}, timing.pauseMs());
            })
        .onFailure(
            e -> {
              retry(e, startedMs, StoreException.isExpired(e) ? this::list : this::read);
            });
  }

  // The next read is scheduled even if the listener throws: one record must not end the tail.
  private void deliverThenRead(Runnable deliver, long pauseMs) {
    try {
      deliver.run();
    } finally {
      if (pauseMs > 0) {
        vertx.setTimer(pauseMs, timer -> read());
      } else {
        read();
      }
    }
  }

  /** Returns whether this tail's calls to the store have failed for some time. */
  boolean isBehind() {
    return failingSinceMs != Long.MAX_VALUE && health.nowMs() - failingSinceMs >= BEHIND_AFTER_MS;
  }

  private void recordSuccess() {
    failingSinceMs = Long.MAX_VALUE;
    retryMs = FIRST_RETRY_MS;
    health.recordSuccess();
  }

  private void retry(Throwable cause, long startedMs, Runnable step) {
    if (!StoreException.isExpired(cause)) {
      health.recordFailure(cause, startedMs);
      failingSinceMs = Math.min(failingSinceMs, health.nowMs());
    }
    long delayMs = retryMs / 2 + 1 + random.nextLong(retryMs);
    retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    vertx.setTimer(delayMs, timer -> step.run());
  }
}
