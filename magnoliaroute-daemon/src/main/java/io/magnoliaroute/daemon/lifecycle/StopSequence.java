package io.magnoliaroute.daemon.lifecycle;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * A graceful shutdown: marks this VM as stopping so that new work is rejected, waits for running
 * requests, closes the front end, releases the budget slices, waits until the log is flushed, and
 * closes the peer connections. A time limit applies to the whole sequence.
 */
public final class StopSequence {

  private static final Logger LOG = Logger.getLogger(StopSequence.class);
  private static final long CHECK_INTERVAL_MS = 10;

  /**
   * Time without a new request after which connections are closed. It is longer than a request
   * takes to arrive.
   */
  private static final long QUIET_PERIOD_MS = 200;

  /**
   * Maximum wait for a quiet period. Rejected callers are asked to retry after one second; callers
   * that retry earlier do not delay the shutdown further.
   */
  private static final long MAX_QUIET_WAIT_MS = 1_000;

  private final Vertx vertx;
  private final InstantSource clock;
  private final Readiness readiness;
  private final Steps steps;

  /**
   * The actions of the sequence and the state that it waits for.
   *
   * @param announceLeaving announces to peers that this VM accepts no new work
   * @param requestsServedForPeers returns the number of requests that this VM is running for other
   *     front ends
   * @param closeFrontEnd refuses new connections, completes running requests within the given time
   *     in ms, and closes the connections to callers
   * @param releaseBudgets releases the budget slices
   * @param pendingRecords returns the number of records not yet written to the log
   * @param announceStoppedAndClose announces to peers that this VM has stopped and closes its
   *     connections
   * @param timeLimitMs the time limit of the whole sequence
   */
  public record Steps(
      Runnable announceLeaving,
      IntSupplier requestsServedForPeers,
      LongFunction<Future<Void>> closeFrontEnd,
      Supplier<Future<Void>> releaseBudgets,
      IntSupplier pendingRecords,
      Supplier<Future<Void>> announceStoppedAndClose,
      long timeLimitMs) {}

  /** Creates a sequence without starting it. */
  public StopSequence(Vertx vertx, InstantSource clock, Readiness readiness, Steps steps) {
    this.vertx = vertx;
    this.clock = clock;
    this.readiness = readiness;
    this.steps = steps;
  }

  /** Runs the sequence; the future completes when the peer connections are closed. */
  public Future<StopReport> run() {
    long deadlineMs = clock.millis() + steps.timeLimitMs();
    readiness.markStopping();
    LOG.infof("shutdown started with %d running requests", readiness.activeRequestCount());
    steps.announceLeaving().run();
    return awaitCondition(() -> runningRequests() == 0, deadlineMs)
        .compose(done -> awaitQuietPeriod(deadlineMs))
        .compose(done -> closeFrontEnd(deadlineMs))
        .compose(done -> releaseBudgets(deadlineMs))
        .compose(done -> awaitCondition(() -> steps.pendingRecords().getAsInt() == 0, deadlineMs))
        .compose(
            done -> {
              StopReport report =
                  new StopReport(runningRequests(), steps.pendingRecords().getAsInt());
              if (report.exitCode() != StopReport.EXIT_OK) {
                LOG.errorf(
                    "shutdown reached its limit of %d ms: %d requests aborted, %d records not logged",
                    steps.timeLimitMs(), report.abortedRequests(), report.unloggedRecords());
              }
              return steps.announceStoppedAndClose().get().map(report).otherwise(report);
            });
  }

  private int runningRequests() {
    return readiness.activeRequestCount() + steps.requestsServedForPeers().getAsInt();
  }

  /** Waits until no new requests arrive, so that requests already in transit are still answered. */
  private Future<Void> awaitQuietPeriod(long deadlineMs) {
    QuietPeriod quiet = new QuietPeriod();
    return awaitCondition(
        quiet::hasElapsed, Math.min(deadlineMs, clock.millis() + MAX_QUIET_WAIT_MS));
  }

  private final class QuietPeriod {

    private long startedRequests = readiness.startedRequestCount();
    private long quietSinceMs = clock.millis();

    boolean hasElapsed() {
      if (readiness.startedRequestCount() != startedRequests) {
        startedRequests = readiness.startedRequestCount();
        quietSinceMs = clock.millis();
      }
      return clock.millis() - quietSinceMs >= QUIET_PERIOD_MS;
    }
  }

  /**
   * Closes the front end. Requests that arrived since the last check are rejected, and their
   * responses are still sent.
   */
  private Future<Void> closeFrontEnd(long deadlineMs) {
    return steps.closeFrontEnd().apply(Math.max(1, deadlineMs - clock.millis())).otherwiseEmpty();
  }

  /**
   * Releases the budget slices, waiting for at most 2 s. Other VMs reclaim slices that are not
   * released in time.
   */
  private Future<Void> releaseBudgets(long deadlineMs) {
    Promise<Void> promise = Promise.promise();
    long timeoutMs = Math.max(1, Math.min(deadlineMs - clock.millis(), 2_000));
    long timer = vertx.setTimer(timeoutMs, fired -> promise.tryComplete());
    steps
        .releaseBudgets()
        .get()
        .onComplete(
            done -> {
              vertx.cancelTimer(timer);
              promise.tryComplete();
            });
    return promise.future();
  }

  private Future<Void> awaitCondition(BooleanSupplier condition, long deadlineMs) {
    Promise<Void> promise = Promise.promise();
    checkCondition(condition, deadlineMs, promise);
    return promise.future();
  }

  private void checkCondition(BooleanSupplier condition, long deadlineMs, Promise<Void> promise) {
    if (condition.getAsBoolean() || clock.millis() >= deadlineMs) {
      promise.complete();
      return;
    }
    vertx.setTimer(CHECK_INTERVAL_MS, timer -> checkCondition(condition, deadlineMs, promise));
  }
}
