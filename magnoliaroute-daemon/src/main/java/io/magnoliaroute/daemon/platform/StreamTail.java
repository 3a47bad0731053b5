package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogPort;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/** Reads one stream from its start to its end, and on from there at each call. */
final class StreamTail {

  private static final int PAGE_RECORDS = 500;

  private final LogPort log;
  private final String stream;
  private final Reader reader;
  private final AtomicReference<Promise<Void>> reading = new AtomicReference<>();
  private volatile long nextOffset;

  /** Takes what is read, one call at a time. */
  interface Reader {

    /** Says that the records before the offset are no longer kept and were not read. */
    void gap(long firstRetainedOffset);

    /** Takes records in order of offset. */
    void entries(List<LogEntry> entries);

    /** Says that the end of the stream was reached. */
    void tip();
  }

  StreamTail(LogPort log, String stream, Reader reader) {
    this.log = log;
    this.stream = stream;
    this.reader = reader;
  }

  String stream() {
    return stream;
  }

  long nextOffset() {
    return nextOffset;
  }

  /** Reads to the end; calls that come meanwhile share the result. */
  Future<Void> readToEnd() {
    Promise<Void> promise = Promise.promise();
    Promise<Void> running = reading.compareAndExchange(null, promise);
    if (running != null) {
      return running.future();
    }
    readOn(promise);
    return promise.future();
  }

  /** Reads until the record at the offset was passed on. */
  Future<Void> readThrough(long offset) {
    return readToEnd()
        .compose(done -> nextOffset > offset ? Future.succeededFuture() : readThrough(offset));
  }

  private void readOn(Promise<Void> promise) {
    long from = nextOffset;
    Future.fromCompletionStage(log.read(stream, from, PAGE_RECORDS))
        .onComplete(
            done -> {
              if (done.succeeded()) {
                take(done.result(), promise);
              } else if (LogFailures.kindOf(done.cause()) == LogException.Kind.OFFSET_EXPIRED) {
                findFirst(promise);
              } else {
                fail(promise, done.cause());
              }
            });
  }

  private void take(LogPage page, Promise<Void> promise) {
    if (!page.entries().isEmpty()) {
      nextOffset = page.nextOffset();
      reader.entries(page.entries());
      readOn(promise);
      return;
    }
    reader.tip();
    reading.set(null);
    promise.complete();
  }

  /** A read past the end is empty and says which offset is the first one kept. */
  private void findFirst(Promise<Void> promise) {
    Future.fromCompletionStage(log.read(stream, Long.MAX_VALUE, 1))
        .onComplete(
            done -> {
              if (done.failed()) {
                fail(promise, done.cause());
                return;
              }
              nextOffset = done.result().firstRetainedOffset();
              reader.gap(nextOffset);
              readOn(promise);
            });
  }

  private void fail(Promise<Void> promise, Throwable cause) {
    reading.set(null);
    promise.fail(cause);
  }
}
