package io.magnoliaroute.daemon.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against a graceful shutdown that closes connections before requests in transit have been
 * answered, and against one that waits for continuous traffic until its time limit.
 */
@DisplayName("A graceful shutdown")
class StopSequenceTest {

  private static final long LIMIT_MS = 10_000;
  private static final long REQUEST_INTERVAL_MS = 50;
  private static final int REQUESTS = 6;

  private final Vertx vertx = Vertx.vertx();
  private final Readiness readiness = new Readiness();
  private final AtomicLong startedRequestsAtClose = new AtomicLong(-1);
  private final InstantSource clock = InstantSource.system();

  @AfterEach
  void close() {
    Await.result(vertx.close());
  }

  private StopSequence sequence() {
    StopSequence.Steps steps =
        new StopSequence.Steps(
            () -> {},
            () -> 0,
            limitMs -> {
              startedRequestsAtClose.set(readiness.startedRequestCount());
              return Future.succeededFuture();
            },
            Future::succeededFuture,
            () -> 0,
            Future::succeededFuture,
            LIMIT_MS);
    return new StopSequence(vertx, clock, readiness, steps);
  }

  private void runRequestsPeriodically(long pauseMs, int calls) {
    if (calls > 0) {
      readiness.recordRequestStart();
      vertx.setTimer(1, answered -> readiness.recordRequestEnd());
      vertx.setTimer(pauseMs, next -> runRequestsPeriodically(pauseMs, calls - 1));
    }
  }

  @Test
  @DisplayName("closes connections only after the last request in transit has been rejected")
  void requestsInTransit() {
    vertx.runOnContext(run -> runRequestsPeriodically(REQUEST_INTERVAL_MS, REQUESTS));

    StopReport report = Await.result(sequence().run());

    assertEquals(REQUESTS, startedRequestsAtClose.get());
    assertEquals(StopReport.EXIT_OK, report.exitCode());
  }

  @Test
  @DisplayName("does not wait until its time limit for callers that send continuously")
  void callersThatSendContinuously() {
    vertx.runOnContext(run -> runRequestsPeriodically(REQUEST_INTERVAL_MS, Integer.MAX_VALUE));
    long startMs = clock.millis();

    Await.result(sequence().run());

    long elapsedMs = clock.millis() - startMs;
    assertTrue(elapsedMs < LIMIT_MS / 2, "the shutdown took " + elapsedMs + " ms");
  }
}
