package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreException;
import io.vertx.core.Future;
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
  private final CoalescedReads refreshes = new CoalescedReads(this::readPages);
  private long nextOffset = -1;
  private long retryMs = FIRST_RETRY_MS;
  private long failingSinceMs = Long.MAX_VALUE;
  private long confirmedAtMs = Long.MIN_VALUE / 2;

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
              deliverThenRead(() -> deliver(page), timing.pauseMs());
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

  // A refresh may have delivered some of the records already. Delivered again, they would replace
  // newer ones of the same key.
  private void deliver(StoreClient.Page page) {
    long firstNew = nextOffset;
    if (page.nextOffset() <= firstNew) {
      return;
    }
    nextOffset = page.nextOffset();
    listener.onRecords(
        new StoreClient.Page(
            page.end(),
            page.records().stream().filter(record -> record.offset() >= firstNew).toList(),
            page.malformed(),
            page.nextOffset()));
  }

  /**
   * Delivers all records that the store holds now; fails if they cannot be read. A tail whose calls
   * have not failed may still lack them: its read may be waiting for a lost response, or this
   * process may have been paused.
   */
  Future<Void> refresh() {
    return nextOffset < 0
        ? Future.failedFuture("the topic has not been listed")
        : refreshes.readToEnd();
  }

  private Future<Void> readPages() {
    long from = nextOffset;
    return store
        .read(topic, 0, from, 0)
        .compose(
            page -> {
              deliver(page);
              boolean isLast = page.nextOffset() <= from || page.nextOffset() >= page.end();
              return isLast ? Future.succeededFuture() : readPages();
            });
  }

  /** Returns whether this tail's calls to the store have failed for some time. */
  boolean isBehind() {
    return failingSinceMs != Long.MAX_VALUE && health.nowMs() - failingSinceMs >= BEHIND_AFTER_MS;
  }

  /** Returns the time since the store last showed that this tail has read all records. */
  long unconfirmedMs() {
    return health.nowMs() - confirmedAtMs;
  }

  private void recordSuccess() {
    confirmedAtMs = health.nowMs();
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
