package io.magnoliaroute.daemon.gateway;

import io.vertx.core.Future;
import java.util.function.Supplier;

/**
 * Lets callers that need the newest records of a partition share reads of it. A read that is under
 * way may miss records that are already stored, so all callers that come meanwhile share one more
 * read. Used on one event loop.
 */
final class CoalescedReads {

  private final Supplier<Future<Void>> reader;
  private Future<Void> running = Future.succeededFuture();
  private Future<Void> queued = Future.succeededFuture();

  /** Creates an object that runs the reader, which reads to the end of the partition. */
  CoalescedReads(Supplier<Future<Void>> reader) {
    this.reader = reader;
  }

  /** Completes with the outcome of a read that began after this call. */
  Future<Void> readToEnd() {
    if (running.isComplete()) {
      running = reader.get();
      return running;
    }
    if (queued.isComplete()) {
      queued = running.transform(previous -> running = reader.get());
    }
    return queued;
  }
}
