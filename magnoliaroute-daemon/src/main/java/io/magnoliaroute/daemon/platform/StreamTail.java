package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogPort;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/** Reads one log stream incrementally; each read continues at the offset that the last reached. */
final class StreamTail {

  private static final int PAGE_RECORDS = 500;

  private final LogPort log;
  private final String stream;
  private final Reader reader;
  private final AtomicReference<Promise<Void>> reading = new AtomicReference<>();
  private volatile long nextOffset;

  /** Receives the records of the stream; calls do not overlap. */
  interface Reader {

    /** Called when records before the offset have expired from the log without being read. */
    void gap(long firstRetainedOffset);

    /** Called with one page of records, in order of offset. */
    void entries(List<LogEntry> entries);

    /** Called when a read has reached the end of the stream. */
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

  /** Reads to the end of the stream; a call during a read shares the result of that read. */
  Future<Void> readToEnd() {
    Promise<Void> promise = Promise.promise();
    Promise<Void> active = reading.compareAndExchange(null, promise);
    if (active != null) {
      return active.future();
    }
    readOn(promise);
    return promise.future();
  }

  /** Reads until the record at the offset was delivered to the reader. */
  Future<Void> readThrough(long offset) {
    return readToEnd()
        .compose(ignored -> nextOffset > offset ? Future.succeededFuture() : readThrough(offset));
  }

  private void readOn(Promise<Void> promise) {
    long from = nextOffset;
    Future.fromCompletionStage(log.read(stream, from, PAGE_RECORDS))
        .onComplete(
            result -> {
              if (result.succeeded()) {
                take(result.result(), promise);
              } else if (LogFailures.kindOf(result.cause()) == LogException.Kind.OFFSET_EXPIRED) {
                findFirst(promise);
              } else {
                fail(promise, result.cause());
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

  /**
   * Continues at the first retained offset, which the log reports on an empty page for a read past
   * the end.
   */
  private void findFirst(Promise<Void> promise) {
    Future.fromCompletionStage(log.read(stream, Long.MAX_VALUE, 1))
        .onComplete(
            result -> {
              if (result.failed()) {
                fail(promise, result.cause());
                return;
              }
              nextOffset = result.result().firstRetainedOffset();
              reader.gap(nextOffset);
              readOn(promise);
            });
  }

  private void fail(Promise<Void> promise, Throwable cause) {
    reading.set(null);
    promise.fail(cause);
  }
}
