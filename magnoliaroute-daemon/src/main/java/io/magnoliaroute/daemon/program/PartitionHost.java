package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.log.AbandonResult;
import io.magnoliaroute.core.log.Batch;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.log.ReadRequest;
import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.HoldResult;
import io.magnoliaroute.core.program.PartitionLease;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.core.program.UnloggedTurn;
import io.magnoliaroute.daemon.platform.LogFailures;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

/**
 * Joins the state of one partition to its stream: hands out batches, reads back, and takes the
 * partition by a claim.
 */
public final class PartitionHost {

  private static final long READ_RETRY_MS = 50;
  private static final long RETRY_AFTER_MS = 1_000;

  private final Vertx vertx;
  private final LogPort log;
  private final InstantSource clock;
  private final WriterSource writers;
  private final ReentrantLock lock;
  private final PartitionCore core;
  private final String stream;
  private final int partition;
  private Future<Void> claiming;
  private Future<Void> reading;
  private long confirmAgainMs;

  /**
   * Makes the host of one partition.
   *
   * @param lock shared by the partitions of this VM, because they share one history buffer
   */
  PartitionHost(
      int partition,
      PartitionCore core,
      ReentrantLock lock,
      Vertx vertx,
      LogPort log,
      InstantSource clock,
      WriterSource writers) {
    this.partition = partition;
    this.stream = streamOf(partition);
    this.core = core;
    this.lock = lock;
    this.vertx = vertx;
    this.log = log;
    this.clock = clock;
    this.writers = writers;
  }

  static String streamOf(int partition) {
    return "program-" + partition;
  }

  /** Returns the number of the partition. */
  public int partition() {
    return partition;
  }

  /** Reads the state under the lock; the function must not call out. */
  <R> R read(Function<PartitionCore, R> function) {
    lock.lock();
    try {
      core.useWriter(writers.current());
      return function.apply(core);
    } finally {
      lock.unlock();
    }
  }

  /** Returns the turns of the program that are not known to be logged. */
  public List<Turn> unloggedTurns(ProgramId program) {
    return read(held -> held.history().bufferedTurns(program));
  }

  /** Returns whether the claim of this run of the VM is in force, as far as was read. */
  public boolean isOwner() {
    return read(PartitionCore::isOwner);
  }

  /** Completes when the claim of this run of the VM is in force. */
  public Future<Void> own() {
    Promise<Void> promise = Promise.promise();
    Future<Void> running =
        read(
            held -> {
              if (held.isOwner()) {
                return Future.succeededFuture();
              }
              if (claiming == null) {
                claiming = promise.future();
                return null;
              }
              return claiming;
            });
    if (running != null) {
      return running;
    }
    claim(promise);
    return promise.future();
  }

  /**
   * Completes when the state is recent enough to answer from: another VM may have claimed the
   * partition since the last read. While the log does not answer, the owner goes on from memory.
   */
  Future<Void> confirm() {
    long nowMs = clock.millis();
    boolean recent = read(held -> held.lease().isValidAt(nowMs) || nowMs < confirmAgainMs);
    if (recent) {
      return Future.succeededFuture();
    }
    return catchUp()
        .recover(
            failure -> {
              read(
                  held -> {
                    confirmAgainMs = clock.millis() + Partitions.LEASE_MS;
                    return null;
                  });
              return Future.succeededFuture();
            });
  }

  /** Submits a record under the epoch in force. */
  public Submission submit(RecordMaker maker) {
    Promise<Applied> promise = Promise.promise();
    RecordId taken =
        read(
            held -> {
              ProgramRecord made = maker.make(held.sequence().next(), held.lease().epoch());
              return held.submit(made, promise, clock.millis()) ? made.id() : null;
            });
    if (taken == null) {
      return new Submission(null, Future.failedFuture(logFull()));
    }
    pump();
    return new Submission(taken, promise.future());
  }

  /** Holds a completed turn and hands it to the log; completes when it is read back. */
  Future<Applied> appendTurn(UnloggedTurn completed) {
    Promise<Applied> promise = Promise.promise();
    HoldResult result =
        read(
            held -> {
              HoldResult kept = hold(held, completed);
              if (kept.succeeded()) {
                held.awaitTurn(completed.program().value(), completed.turn().number(), promise);
                held.flushTurns(clock.millis());
              }
              return kept;
            });
    if (!result.succeeded()) {
      return Future.failedFuture(moved());
    }
    pump();
    return promise.future();
  }

  /**
   * Takes a turn that a peer mirrored and writes it while this VM owns the partition.
   *
   * @return whether the turn is in the history already or follows it
   */
  public boolean holdMirrored(UnloggedTurn mirrored) {
    boolean kept = read(held -> held.offer(mirrored));
    read(
        held -> {
          held.flushTurns(clock.millis());
          return null;
        });
    pump();
    return kept;
  }

  /** Stops appending a record; see {@link AbandonResult}. */
  AbandonResult abandon(RecordId id) {
    return read(held -> held.abandon(id));
  }

  /** Reads to the end of the stream, so that claims of other VMs are seen. */
  Future<Void> catchUp() {
    Promise<Void> promise = Promise.promise();
    Future<Void> running =
        read(
            held -> {
              if (reading == null) {
                reading = promise.future();
                return null;
              }
              return reading;
            });
    if (running != null) {
      return running;
    }
    readOn(promise);
    return promise.future();
  }

  private static HoldResult hold(PartitionCore held, UnloggedTurn turn) {
    int logged = held.state().program(turn.program()).map(ProgramView::nextTurnNumber).orElse(0);
    return held.history().hold(turn, logged);
  }

  private void claim(Promise<Void> promise) {
    catchUp()
        .compose(read -> submitClaim())
        .onComplete(
            done -> {
              read(
                  held -> {
                    claiming = null;
                    held.flushTurns(clock.millis());
                    return null;
                  });
              pump();
              if (done.succeeded()) {
                promise.complete();
              } else {
                promise.fail(done.cause());
              }
            });
  }

  private Future<Void> submitClaim() {
    Promise<Applied> applied = Promise.promise();
    boolean taken = read(held -> held.submit(held.nextClaim(), applied, clock.millis()));
    if (!taken) {
      return Future.failedFuture(logFull());
    }
    pump();
    return applied
        .future()
        .compose(
            seen -> {
              boolean held = read(c -> c.lease().status() == PartitionLease.Status.HELD);
              return held ? Future.succeededFuture() : Future.failedFuture(moved());
            });
  }

  /** Hands out the batch that is due, after records were added under the lock. */
  void pump() {
    long nowMs = clock.millis();
    Batch batch = read(held -> held.next(nowMs));
    if (batch != null) {
      Future.fromCompletionStage(log.append(stream, batch.payloads()))
          .onSuccess(first -> appended(batch, first))
          .onFailure(failure -> failed(batch, failure));
      return;
    }
    long delayMs = read(held -> held.nextDelayMs(nowMs));
    if (delayMs > 0) {
      vertx.setTimer(delayMs, timer -> pump());
    }
  }

  private void appended(Batch batch, long firstOffset) {
    complete(read(held -> held.appended(batch, firstOffset, clock.millis())));
    readUpTo(firstOffset + batch.ids().size());
    pump();
  }

  /** Reads on where records of another writer lie between what was read and the offset. */
  private void readUpTo(long offset) {
    if (read(held -> held.state().lastOffset()) + 1 >= offset) {
      return;
    }
    catchUp()
        .onComplete(
            done -> {
              if (done.succeeded()) {
                readUpTo(offset);
              } else {
                vertx.setTimer(READ_RETRY_MS, timer -> readUpTo(offset));
              }
            });
  }

  private void failed(Batch batch, Throwable failure) {
    read(
        held -> {
          held.failed(batch, LogFailures.kindOf(failure), clock.millis());
          return null;
        });
    pump();
  }

  private void readOn(Promise<Void> promise) {
    long issuedAtMs = clock.millis();
    ReadRequest request = read(held -> held.reader().nextRead());
    Future.fromCompletionStage(
            log.read(request.stream(), request.fromOffset(), request.maxRecords()))
        .onComplete(
            done -> {
              if (done.succeeded()) {
                accepted(request, done.result(), issuedAtMs, promise);
              } else {
                readFailed(done.cause(), promise);
              }
            });
  }

  private void accepted(ReadRequest request, LogPage page, long issuedAtMs, Promise<Void> promise) {
    complete(read(held -> held.accept(request, page, issuedAtMs)));
    boolean atEnd =
        page.entries().isEmpty()
            && read(held -> held.reader().nextRead().fromOffset() <= request.fromOffset());
    if (!atEnd) {
      readOn(promise);
      return;
    }
    endReading();
    promise.complete();
  }

  private void readFailed(Throwable failure, Promise<Void> promise) {
    var kind = LogFailures.kindOf(failure);
    read(
        held -> {
          held.reader().onReadFailed(kind);
          return null;
        });
    if (kind == LogException.Kind.OFFSET_EXPIRED) {
      readOn(promise);
      return;
    }
    endReading();
    promise.fail(
        new Problem(
                ProblemCode.LOG_UNAVAILABLE,
                "the log did not answer: " + failure.getMessage(),
                RETRY_AFTER_MS)
            .asException());
  }

  private void endReading() {
    read(
        held -> {
          reading = null;
          return null;
        });
  }

  private Throwable moved() {
    return new Problem(ProblemCode.OWNER_CHANGED, "another VM claimed " + stream, RETRY_AFTER_MS)
        .asException();
  }

  private static Throwable logFull() {
    return new Problem(
            ProblemCode.LOG_UNAVAILABLE, "too many records wait for the log", RETRY_AFTER_MS)
        .asException();
  }

  private static void complete(List<Runnable> settled) {
    settled.forEach(Runnable::run);
  }
}
