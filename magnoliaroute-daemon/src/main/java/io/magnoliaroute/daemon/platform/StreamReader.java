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
final class StreamReader {

  private static final int MAX_PAGE_RECORDS = 500;

  private final LogPort log;
  private final String stream;
  private final Listener listener;
  private final AtomicReference<Promise<Void>> currentRead = new AtomicReference<>();
  private volatile long nextOffset;

  /** Receives the records of the stream; calls do not overlap. */
  interface Listener {

    /** Called when records before the offset have expired from the log without being read. */
    void onGap(long firstRetainedOffset);

    /** Called with one page of records, in order of offset. */
    void onEntries(List<LogEntry> entries);

    /** Called when a read has reached the end of the stream. */
    void onEndReached();
  }

  StreamReader(LogPort log, String stream, Listener listener) {
    this.log = log;
    this.stream = stream;
    this.listener = listener;
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
    Promise<Void> active = currentRead.compareAndExchange(null, promise);
    if (active != null) {
      return active.future();
    }
    readNextPage(promise);
    return promise.future();
  }

  /** Reads until the record at the offset was delivered to the listener. */
  Future<Void> readThrough(long offset) {
    return readToEnd()
        .compose(ignored -> nextOffset > offset ? Future.succeededFuture() : readThrough(offset));
  }

  private void readNextPage(Promise<Void> promise) {
    long from = nextOffset;
    Future.fromCompletionStage(log.read(stream, from, MAX_PAGE_RECORDS))
        .onComplete(
            result -> {
              if (result.succeeded()) {
                handlePage(result.result(), promise);
              } else if (LogFailures.kindOf(result.cause()) == LogException.Kind.OFFSET_EXPIRED) {
                skipToFirstRetained(promise);
              } else {
                failRead(promise, result.cause());
              }
            });
  }

  private void handlePage(LogPage page, Promise<Void> promise) {
    if (!page.entries().isEmpty()) {
      nextOffset = page.nextOffset();
      listener.onEntries(page.entries());
      readNextPage(promise);
      return;
    }
    listener.onEndReached();
    currentRead.set(null);
    promise.complete();
  }

  /**
   * Continues at the first retained offset, which the log reports on an empty page for a read past
   * the end.
   */
  private void skipToFirstRetained(Promise<Void> promise) {
    Future.fromCompletionStage(log.read(stream, Long.MAX_VALUE, 1))
        .onComplete(
            result -> {
              if (result.failed()) {
                failRead(promise, result.cause());
                return;
              }
              nextOffset = result.result().firstRetainedOffset();
              listener.onGap(nextOffset);
              readNextPage(promise);
            });
  }

  private void failRead(Promise<Void> promise, Throwable cause) {
    currentRead.set(null);
    promise.fail(cause);
  }
}
