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
 * Connects the state of one partition to its log stream: appends batches, reads records back and
 * claims the partition.
 */
public final class PartitionHost {

  private static final long READ_RETRY_MS = 50;
  private static final long RETRY_AFTER_MS = 1_000;

  private final Vertx vertx;
  private final LogPort log;
  private final InstantSource clock;
  private final WriterIdSource writerSource;
  private final ReentrantLock lock;
  private final PartitionCore core;
  private final String stream;
  private final int partition;
  private Future<Void> pendingClaim;
  private Future<Void> pendingRead;
  private long nextConfirmMs;

  /**
   * Creates the host of one partition.
   *
   * @param lock the lock shared by all partitions of this VM, because they share one history buffer
   */
  PartitionHost(
      int partition,
      PartitionCore core,
      ReentrantLock lock,
      Vertx vertx,
      LogPort log,
      InstantSource clock,
      WriterIdSource writerSource) {
    this.partition = partition;
    this.stream = streamOf(partition);
    this.core = core;
    this.lock = lock;
    this.vertx = vertx;
    this.log = log;
    this.clock = clock;
    this.writerSource = writerSource;
  }

  /** Returns the name of the partition's log stream. */
  static String streamOf(int partition) {
    return "program-" + partition;
  }

  /** Returns the number of the partition. */
  public int partition() {
    return partition;
  }

  /**
   * Applies a function to the partition's data under the lock, after switching to the current
   * writer id. The function must not perform I/O or call other components.
   */
  <R> R withLock(Function<PartitionCore, R> function) {
    lock.lock();
    try {
      core.switchWriter(writerSource.current());
      return function.apply(core);
    } finally {
      lock.unlock();
    }
  }

  /** Returns the program's turns that have not been read back from the log, in order. */
  public List<Turn> unloggedTurns(ProgramId program) {
    return withLock(core -> core.history().bufferedTurns(program));
  }

  /**
   * Returns whether this VM owns the partition according to the records read so far, by a claim
   * that it made under its current writer id.
   */
  public boolean isOwner() {
    return withLock(PartitionCore::isOwner);
  }

  /**
   * Claims the partition unless this VM owns it. The future completes when the claim was read back
   * as the current one, and fails with a problem otherwise. Concurrent calls share one claim.
   */
  public Future<Void> acquireOwnership() {
    Promise<Void> promise = Promise.promise();
    Future<Void> running =
        withLock(
            core -> {
              if (core.isOwner()) {
                return Future.succeededFuture();
              }
              if (pendingClaim == null) {
                pendingClaim = promise.future();
                return null;
              }
              return pendingClaim;
            });
    if (running != null) {
      return running;
    }
    claim(promise);
    return promise.future();
  }

  /**
   * Completes when the state is recent enough to serve requests. If the lease has expired, the
   * stream is read to its end first, because another VM may have claimed the partition since the
   * last read. If the log is unavailable, the future also completes: the owner continues with its
   * state in memory and does not read again for the duration of a lease.
   */
  Future<Void> ensureRecentState() {
    long nowMs = clock.millis();
    boolean recent = withLock(core -> core.lease().isValidAt(nowMs) || nowMs < nextConfirmMs);
    if (recent) {
      return Future.succeededFuture();
    }
    return catchUp()
        .recover(
            failure -> {
              withLock(
                  core -> {
                    nextConfirmMs = clock.millis() + Partitions.LEASE_MS;
                    return null;
                  });
              return Future.succeededFuture();
            });
  }

  /**
   * Queues a record under the current epoch.
   *
   * @param factory creates the record from the next record id and the epoch
   * @return the submission; its future fails if too many records are pending
   */
  public Submission submit(RecordFactory factory) {
    Promise<AppendResult> promise = Promise.promise();
    RecordId id =
        withLock(
            core -> {
              ProgramRecord programRecord =
                  factory.create(core.recordIds().next(), core.lease().epoch());
              return core.submit(programRecord, promise, clock.millis())
                  ? programRecord.id()
                  : null;
            });
    if (id == null) {
      return new Submission(null, Future.failedFuture(logFull()));
    }
    appendNextBatch();
    return new Submission(id, promise.future());
  }

  /**
   * Buffers a completed turn and queues its record for the log. The future completes with the
   * verdict when the record is read back, and fails if the buffer refuses the turn.
   */
  Future<AppendResult> appendTurn(UnloggedTurn completed) {
    Promise<AppendResult> promise = Promise.promise();
    HoldResult result =
        withLock(
            core -> {
              HoldResult holdResult = holdTurn(core, completed);
              if (holdResult.succeeded()) {
                core.awaitTurn(completed.program().value(), completed.turn().number(), promise);
                core.flushTurns(clock.millis());
              }
              return holdResult;
            });
    if (!result.succeeded()) {
      return Future.failedFuture(ownerChanged());
    }
    appendNextBatch();
    return promise.future();
  }

  /**
   * Adds a turn that was mirrored by a peer and queues its record if this VM owns the partition.
   *
   * @return whether the turn is already in the history or directly follows it
   */
  public boolean addMirroredTurn(UnloggedTurn mirrored) {
    boolean consistent = withLock(core -> core.offer(mirrored));
    withLock(
        core -> {
          core.flushTurns(clock.millis());
          return null;
        });
    appendNextBatch();
    return consistent;
  }

  /**
   * Stops appending a record.
   *
   * @return whether the record may still appear in the log
   */
  AbandonResult abandon(RecordId id) {
    return withLock(core -> core.abandon(id));
  }

  /**
   * Reads the stream to its end, which detects claims of other VMs and renews the lease if this VM
   * owns the partition. Concurrent calls share one read.
   */
  Future<Void> catchUp() {
    Promise<Void> promise = Promise.promise();
    Future<Void> running =
        withLock(
            core -> {
              if (pendingRead == null) {
                pendingRead = promise.future();
                return null;
              }
              return pendingRead;
            });
    if (running != null) {
      return running;
    }
    readNextPage(promise);
    return promise.future();
  }

  private static HoldResult holdTurn(PartitionCore core, UnloggedTurn turn) {
    int logged = core.state().program(turn.program()).map(ProgramView::nextTurnNumber).orElse(0);
    return core.history().hold(turn, logged);
  }

  private void claim(Promise<Void> promise) {
    catchUp()
        .compose(read -> submitClaim())
        .onComplete(
            done -> {
              withLock(
                  core -> {
                    pendingClaim = null;
                    core.flushTurns(clock.millis());
                    return null;
                  });
              appendNextBatch();
              if (done.succeeded()) {
                promise.complete();
              } else {
                promise.fail(done.cause());
              }
            });
  }

  private Future<Void> submitClaim() {
    Promise<AppendResult> promise = Promise.promise();
    boolean accepted = withLock(core -> core.submit(core.nextClaim(), promise, clock.millis()));
    if (!accepted) {
      return Future.failedFuture(logFull());
    }
    appendNextBatch();
    return promise
        .future()
        .compose(
            result -> {
              boolean isHeld =
                  withLock(core -> core.lease().status() == PartitionLease.Status.HELD);
              return isHeld ? Future.succeededFuture() : Future.failedFuture(ownerChanged());
            });
  }

  /**
   * Appends the next batch if it is due, or schedules it. Must be called, without the lock, after
   * records were queued.
   */
  void appendNextBatch() {
    long nowMs = clock.millis();
    Batch batch = withLock(core -> core.nextBatch(nowMs));
    if (batch != null) {
      Future.fromCompletionStage(log.append(stream, batch.payloads()))
          .onSuccess(first -> onAppended(batch, first))
          .onFailure(failure -> onAppendFailed(batch, failure));
      return;
    }
    long delayMs = withLock(core -> core.nextDelayMs(nowMs));
    if (delayMs > 0) {
      vertx.setTimer(delayMs, timer -> appendNextBatch());
    }
  }

  private void onAppended(Batch batch, long firstOffset) {
    runAll(withLock(core -> core.onAppended(batch, firstOffset, clock.millis())));
    readUpTo(firstOffset + batch.ids().size());
    appendNextBatch();
  }

  /**
   * Reads the stream up to the offset, unless all earlier records were read. Records of other
   * writers may precede an appended batch.
   */
  private void readUpTo(long offset) {
    if (withLock(core -> core.state().lastOffset()) + 1 >= offset) {
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

  private void onAppendFailed(Batch batch, Throwable failure) {
    withLock(
        core -> {
          core.onAppendFailed(batch, LogFailures.kindOf(failure), clock.millis());
          return null;
        });
    appendNextBatch();
  }

  private void readNextPage(Promise<Void> promise) {
    long issuedAtMs = clock.millis();
    ReadRequest request = withLock(core -> core.reader().nextRead());
    Future.fromCompletionStage(
            log.read(request.stream(), request.fromOffset(), request.maxRecords()))
        .onComplete(
            done -> {
              if (done.succeeded()) {
                onPageRead(request, done.result(), issuedAtMs, promise);
              } else {
                onReadFailed(done.cause(), promise);
              }
            });
  }

  private void onPageRead(
      ReadRequest request, LogPage page, long issuedAtMs, Promise<Void> promise) {
    runAll(withLock(core -> core.onPageRead(request, page, issuedAtMs)));
    boolean atEnd =
        page.entries().isEmpty()
            && withLock(core -> core.reader().nextRead().fromOffset() <= request.fromOffset());
    if (!atEnd) {
      readNextPage(promise);
      return;
    }
    clearPendingRead();
    promise.complete();
  }

  private void onReadFailed(Throwable failure, Promise<Void> promise) {
    var kind = LogFailures.kindOf(failure);
    withLock(
        core -> {
          core.reader().onReadFailed(kind);
          return null;
        });
    if (kind == LogException.Kind.OFFSET_EXPIRED) {
      readNextPage(promise);
      return;
    }
    clearPendingRead();
    promise.fail(
        new Problem(
                ProblemCode.LOG_UNAVAILABLE,
                "the log did not answer: " + failure.getMessage(),
                RETRY_AFTER_MS)
            .asException());
  }

  private void clearPendingRead() {
    withLock(
        core -> {
          pendingRead = null;
          return null;
        });
  }

  private Throwable ownerChanged() {
    return new Problem(ProblemCode.OWNER_CHANGED, "another VM claimed " + stream, RETRY_AFTER_MS)
        .asException();
  }

  private static Throwable logFull() {
    return new Problem(
            ProblemCode.LOG_UNAVAILABLE, "too many records wait for the log", RETRY_AFTER_MS)
        .asException();
  }

  private static void runAll(List<Runnable> callbacks) {
    callbacks.forEach(Runnable::run);
  }
}
