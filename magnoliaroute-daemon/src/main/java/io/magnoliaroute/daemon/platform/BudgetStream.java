package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.budget.BudgetAvailability;
import io.magnoliaroute.core.budget.BudgetCodec;
import io.magnoliaroute.core.budget.BudgetFormatException;
import io.magnoliaroute.core.budget.BudgetHolder;
import io.magnoliaroute.core.budget.BudgetHolderLimits;
import io.magnoliaroute.core.budget.BudgetLedger;
import io.magnoliaroute.core.budget.BudgetRecord;
import io.magnoliaroute.core.budget.BudgetSnapshotter;
import io.magnoliaroute.core.budget.BudgetVerdict;
import io.magnoliaroute.core.budget.Reservation;
import io.magnoliaroute.core.budget.SliceReclaimer;
import io.magnoliaroute.core.config.SnapshotSchedule;
import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.TeamSettings;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

/**
 * One budget stream: its replicated accounts, the slices that this VM holds and the reservations
 * that wait for units.
 */
final class BudgetStream {

  private static final long RESERVE_WAIT_MS = 3_000;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final long RETRY_READ_MS = 200;
  private static final long IDLE_READ_MS = 2_000;
  // A VM that was falsely declared dead rejoins within this grace period and keeps its slices.
  private static final long RECLAIM_GRACE_MS = 10_000;
  private static final long RECLAIM_STAGGER_MS = 2_000;

  private record Waiting(TeamId team, long units, long untilMs, Promise<Reservation> promise) {}

  private final Vertx vertx;
  private final LogPort log;
  private final InstantSource clock;
  private final DaemonMetrics metrics;
  private final ReentrantLock lock = new ReentrantLock();
  private final BudgetLedger ledger = new BudgetLedger();
  private final BudgetHolder holder;
  private final BudgetSnapshotter carryForward;
  private final SliceReclaimer reclaimer;
  private final StreamTail tail;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final List<Promise<Void>> draining = new ArrayList<>();
  private boolean appending;
  private boolean tipReached;
  private long nextReadMs;

  BudgetStream(
      String stream,
      Vertx vertx,
      LogPort log,
      InstantSource clock,
      VmId vm,
      String writer,
      DaemonMetrics metrics) {
    this.vertx = vertx;
    this.log = log;
    this.clock = clock;
    this.metrics = metrics;
    this.carryForward =
        new BudgetSnapshotter(new SnapshotSchedule(vm, LogRetention.RETENTION_MS), writer);
    this.reclaimer = new SliceReclaimer(vm, writer, RECLAIM_GRACE_MS, RECLAIM_STAGGER_MS);
    this.holder = new BudgetHolder(vm, writer, ledger, BudgetHolderLimits.defaults());
    this.tail = new StreamTail(log, stream, new Records());
  }

  void putTeam(TeamSettings team, long version) {
    locked(
        lockedHolder -> {
          lockedHolder.putTeam(team.id(), team.budget(), version);
          return null;
        });
  }

  void removeTeam(TeamId team) {
    locked(
        lockedHolder -> {
          lockedHolder.removeTeam(team);
          return null;
        });
  }

  Future<Reservation> reserve(TeamId team, long units) {
    Promise<Reservation> promise = Promise.promise();
    Waiting pending = new Waiting(team, units, clock.millis() + RESERVE_WAIT_MS, promise);
    if (!trySettle(pending)) {
      locked(lockedHolder -> waiting.add(pending));
      poll();
    }
    return promise.future();
  }

  void settle(Reservation reservation, long spentUnits) {
    locked(
        lockedHolder -> {
          lockedHolder.settle(reservation, spentUnits);
          return null;
        });
  }

  /** Appends due account snapshots and reclaims the slices of VMs that are not live. */
  void tend(Collection<VmId> live) {
    long nowMs = clock.millis();
    List<BudgetRecord> dueRecords =
        locked(
            lockedHolder -> {
              if (!tipReached) {
                return List.of();
              }
              List<BudgetRecord> records = new ArrayList<>(carryForward.poll(ledger, live, nowMs));
              records.addAll(reclaimer.poll(ledger, live, nowMs));
              return records;
            });
    if (!dueRecords.isEmpty()) {
      Future.fromCompletionStage(
              log.append(tail.stream(), dueRecords.stream().map(BudgetCodec::encode).toList()))
          .onFailure(failure -> metrics.count("budget_append_failures"));
    }
  }

  BudgetAvailability availability(TeamId team, long units) {
    return locked(lockedHolder -> lockedHolder.availability(team, units, clock.millis()));
  }

  Future<Void> drain() {
    Promise<Void> promise = Promise.promise();
    locked(
        lockedHolder -> {
          lockedHolder.drain();
          return draining.add(promise);
        });
    poll();
    return promise.future();
  }

  /** Retries pending reservations, then reads the stream or appends the records that are due. */
  void poll() {
    retryWaiting();
    finishDrain();
    long nowMs = clock.millis();
    boolean shouldReadFirst = locked(lockedHolder -> !tipReached && nowMs >= nextReadMs);
    if (shouldReadFirst) {
      locked(lockedHolder -> nextReadMs = nowMs + RETRY_READ_MS);
      tail.readToEnd();
      return;
    }
    List<BudgetRecord> dueRecords =
        locked(
            lockedHolder -> {
              if (!tipReached || appending) {
                return List.of();
              }
              List<BudgetRecord> records = lockedHolder.poll(nowMs);
              appending = !records.isEmpty();
              return records;
            });
    if (!dueRecords.isEmpty()) {
      append(dueRecords);
    } else if (locked(lockedHolder -> nowMs >= nextReadMs)) {
      locked(lockedHolder -> nextReadMs = nowMs + IDLE_READ_MS);
      tail.readToEnd();
    }
  }

  private void append(List<BudgetRecord> dueRecords) {
    List<Bytes> payloads = dueRecords.stream().map(BudgetCodec::encode).toList();
    Future.fromCompletionStage(log.append(tail.stream(), payloads))
        .compose(firstOffset -> tail.readThrough(firstOffset + payloads.size() - 1))
        .onComplete(
            result -> {
              locked(lockedHolder -> appending = false);
              if (result.failed()) {
                metrics.count("budget_append_failures");
              }
              retryWaiting();
              finishDrain();
            });
  }

  private void retryWaiting() {
    List<Waiting> retried =
        locked(
            lockedHolder -> {
              List<Waiting> all = List.copyOf(waiting);
              waiting.clear();
              return all;
            });
    for (Waiting each : retried) {
      if (!trySettle(each)) {
        locked(lockedHolder -> waiting.add(each));
      }
    }
  }

  /**
   * Completes the reservation if its units are available, or fails it if the budget does not cover
   * them or its deadline has passed. Returns whether the reservation was resolved.
   */
  private boolean trySettle(Waiting pending) {
    long nowMs = clock.millis();
    Optional<Reservation> reserved =
        locked(lockedHolder -> lockedHolder.reserve(pending.team(), pending.units(), nowMs));
    if (reserved.isPresent()) {
      pending.promise().complete(reserved.get());
      return true;
    }
    BudgetAvailability available = availability(pending.team(), pending.units());
    boolean isUnobtainable =
        available != BudgetAvailability.PENDING
            && available != BudgetAvailability.READY
            && locked(lockedHolder -> tipReached);
    if (isUnobtainable) {
      pending.promise().fail(exhausted(pending, available).asException());
      return true;
    }
    if (nowMs >= pending.untilMs()) {
      Problem timedOut =
          new Problem(
              ProblemCode.LOG_UNAVAILABLE, "the log granted no budget in time", RETRY_AFTER_MS);
      pending.promise().fail(timedOut.asException());
      return true;
    }
    return false;
  }

  private Problem exhausted(Waiting pending, BudgetAvailability available) {
    long untilNextMs =
        locked(lockedHolder -> lockedHolder.untilNextPeriodMs(pending.team(), clock.millis()));
    long retryAfterMs = available == BudgetAvailability.EXHAUSTED ? untilNextMs : 0;
    return new Problem(
        ProblemCode.BUDGET_EXHAUSTED,
        "the call may cost " + pending.units() + " units: " + available.name(),
        retryAfterMs);
  }

  private void finishDrain() {
    List<Promise<Void>> drained =
        locked(
            lockedHolder -> {
              if (draining.isEmpty() || !lockedHolder.isDrained()) {
                return List.of();
              }
              List<Promise<Void>> all = List.copyOf(draining);
              draining.clear();
              return all;
            });
    drained.forEach(Promise::tryComplete);
  }

  private <R> R locked(Function<BudgetHolder, R> function) {
    lock.lock();
    try {
      return function.apply(holder);
    } finally {
      lock.unlock();
    }
  }

  private final class Records implements StreamTail.Reader {

    @Override
    public void gap(long firstRetainedOffset) {
      locked(
          lockedHolder -> {
            ledger.restartFrom(firstRetainedOffset);
            return null;
          });
    }

    @Override
    public void entries(List<LogEntry> entries) {
      long nowMs = clock.millis();
      for (LogEntry entry : entries) {
        locked(
            lockedHolder -> {
              apply(lockedHolder, entry, nowMs);
              return null;
            });
      }
      vertx.runOnContext(ignored -> retryWaiting());
    }

    @Override
    public void tip() {
      locked(
          lockedHolder -> {
            ledger.markCaughtUp();
            tipReached = true;
            return null;
          });
    }

    private void apply(BudgetHolder lockedHolder, LogEntry entry, long nowMs) {
      try {
        BudgetRecord record = BudgetCodec.decode(entry.payload());
        BudgetVerdict verdict = ledger.apply(entry.offset(), record);
        lockedHolder.onApplied(record, verdict, nowMs);
      } catch (BudgetFormatException e) {
        metrics.count("budget_malformed_records");
      }
    }
  }
}
