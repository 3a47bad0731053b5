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
  private static final long CHECK_MS = 10;

  /**
   * Time without a new request after which connections are closed. It is longer than a request
   * takes to arrive.
   */
  private static final long QUIET_MS = 200;

  /**
   * Maximum wait for a quiet period. Rejected callers are asked to retry after one second; callers
   * that retry earlier do not delay the shutdown further.
   */
  private static final long QUIET_LIMIT_MS = 1_000;

  private final Vertx vertx;
  private final InstantSource clock;
  private final Readiness readiness;
  private final Steps steps;

  /**
   * The actions of the sequence and the state that it waits for.
   *
   * @param leave announces to peers that this VM accepts no new work
   * @param servedForPeers returns the number of requests that this VM is running for other front
   *     ends
   * @param closeToCallers refuses new connections, completes running requests within the given time
   *     in ms, and closes the connections to callers
   * @param releaseBudgets releases the budget slices
   * @param pendingRecords returns the number of records not yet written to the log
   * @param stopped announces to peers that this VM has stopped and closes its connections
   * @param limitMs the time limit of the whole sequence
   */
  public record Steps(
      Runnable leave,
      IntSupplier servedForPeers,
      LongFunction<Future<Void>> closeToCallers,
      Supplier<Future<Void>> releaseBudgets,
      IntSupplier pendingRecords,
      Supplier<Future<Void>> stopped,
      long limitMs) {}

  /** Creates a sequence without starting it. */
  public StopSequence(Vertx vertx, InstantSource clock, Readiness readiness, Steps steps) {
    this.vertx = vertx;
    this.clock = clock;
    this.readiness = readiness;
    this.steps = steps;
  }

  /** Runs the sequence; the future completes when the peer connections are closed. */
  public Future<StopReport> run() {
    long deadlineMs = clock.millis() + steps.limitMs();
    readiness.stopping();
    LOG.infof("shutdown started with %d running requests", readiness.active());
    steps.leave().run();
    return await(() -> running() == 0, deadlineMs)
        .compose(done -> awaitQuiet(deadlineMs))
        .compose(done -> closeToCallers(deadlineMs))
        .compose(done -> releaseBudgets(deadlineMs))
        .compose(done -> await(() -> steps.pendingRecords().getAsInt() == 0, deadlineMs))
        .compose(
            done -> {
              StopReport report = new StopReport(running(), steps.pendingRecords().getAsInt());
              if (report.exitCode() != StopReport.EXIT_OK) {
                LOG.errorf(
                    "shutdown reached its limit of %d ms: %d requests aborted, %d records not logged",
                    steps.limitMs(), report.cutRequests(), report.unloggedRecords());
              }
              return steps.stopped().get().map(report).otherwise(report);
            });
  }

  private int running() {
    return readiness.active() + steps.servedForPeers().getAsInt();
  }

  /** Waits until no new requests arrive, so that requests already in transit are still answered. */
  private Future<Void> awaitQuiet(long deadlineMs) {
    Quiet quiet = new Quiet();
    return await(quiet::holds, Math.min(deadlineMs, clock.millis() + QUIET_LIMIT_MS));
  }

  private final class Quiet {

    private long begun = readiness.begun();
    private long sinceMs = clock.millis();

    boolean holds() {
      if (readiness.begun() != begun) {
        begun = readiness.begun();
        sinceMs = clock.millis();
      }
      return clock.millis() - sinceMs >= QUIET_MS;
    }
  }

  /**
   * Closes the front end. Requests that arrived since the last check are rejected, and their
   * responses are still sent.
   */
  private Future<Void> closeToCallers(long deadlineMs) {
    return steps.closeToCallers().apply(Math.max(1, deadlineMs - clock.millis())).otherwiseEmpty();
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

  private Future<Void> await(BooleanSupplier condition, long deadlineMs) {
    Promise<Void> promise = Promise.promise();
    check(condition, deadlineMs, promise);
    return promise.future();
  }

  private void check(BooleanSupplier condition, long deadlineMs, Promise<Void> promise) {
    if (condition.getAsBoolean() || clock.millis() >= deadlineMs) {
      promise.complete();
      return;
    }
    vertx.setTimer(CHECK_MS, timer -> check(condition, deadlineMs, promise));
  }
}
