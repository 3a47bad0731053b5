package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.budget.BudgetAccounts;
import io.magnoliaroute.core.budget.BudgetAvailability;
import io.magnoliaroute.core.budget.BudgetCodec;
import io.magnoliaroute.core.budget.BudgetFormatException;
import io.magnoliaroute.core.budget.BudgetHolder;
import io.magnoliaroute.core.budget.BudgetHolderLimits;
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

  private static final long RESERVE_TIMEOUT_MS = 3_000;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final long READ_RETRY_INTERVAL_MS = 200;
  private static final long IDLE_READ_INTERVAL_MS = 2_000;
  // A VM that was falsely declared dead rejoins within this grace period and keeps its slices.
  private static final long RECLAIM_GRACE_PERIOD_MS = 10_000;
  private static final long RECLAIM_STAGGER_MS = 2_000;

  private record PendingReservation(
      TeamId team, long units, long deadlineMs, Promise<Reservation> promise) {}

  private final Vertx vertx;
  private final LogPort log;
  private final InstantSource clock;
  private final DaemonMetrics metrics;
  private final ReentrantLock lock = new ReentrantLock();
  private final BudgetAccounts accounts = new BudgetAccounts();
  private final BudgetHolder holder;
  private final BudgetSnapshotter snapshotter;
  private final SliceReclaimer reclaimer;
  private final StreamReader reader;
  private final Deque<PendingReservation> pendingReservations = new ArrayDeque<>();
  private final List<Promise<Void>> drainPromises = new ArrayList<>();
  private boolean appending;
  private boolean endReached;
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
    this.snapshotter =
        new BudgetSnapshotter(new SnapshotSchedule(vm, LogRetention.RETENTION_MS), writer);
    this.reclaimer = new SliceReclaimer(vm, writer, RECLAIM_GRACE_PERIOD_MS, RECLAIM_STAGGER_MS);
    this.holder = new BudgetHolder(vm, writer, accounts, BudgetHolderLimits.defaults());
    this.reader = new StreamReader(log, stream, new RecordListener());
  }

  void putTeam(TeamSettings team, long version) {
    withLockedHolder(
        lockedHolder -> {
          lockedHolder.putTeam(team.id(), team.budget(), version);
          return null;
        });
  }

  void removeTeam(TeamId team) {
    withLockedHolder(
        lockedHolder -> {
          lockedHolder.removeTeam(team);
          return null;
        });
  }

  Future<Reservation> reserve(TeamId team, long units) {
    Promise<Reservation> promise = Promise.promise();
    PendingReservation pending =
        new PendingReservation(team, units, clock.millis() + RESERVE_TIMEOUT_MS, promise);
    if (!tryResolve(pending)) {
      withLockedHolder(lockedHolder -> pendingReservations.add(pending));
      poll();
    }
    return promise.future();
  }

  void settle(Reservation reservation, long spentUnits) {
    withLockedHolder(
        lockedHolder -> {
          lockedHolder.settle(reservation, spentUnits);
          return null;
        });
  }

  /** Appends due account snapshots and reclaims the slices of VMs that are not live. */
  void runMaintenance(Collection<VmId> live) {
    long nowMs = clock.millis();
    List<BudgetRecord> dueRecords =
        withLockedHolder(
            lockedHolder -> {
              if (!endReached) {
                return List.of();
              }
              List<BudgetRecord> records = new ArrayList<>(snapshotter.poll(accounts, live, nowMs));
              records.addAll(reclaimer.poll(accounts, live, nowMs));
              return records;
            });
    if (!dueRecords.isEmpty()) {
      Future.fromCompletionStage(
              log.append(reader.stream(), dueRecords.stream().map(BudgetCodec::encode).toList()))
          .onFailure(failure -> metrics.increment("budget_append_failures"));
    }
  }

  BudgetAvailability availability(TeamId team, long units) {
    return withLockedHolder(lockedHolder -> lockedHolder.availability(team, units, clock.millis()));
  }

  Future<Void> drain() {
    Promise<Void> promise = Promise.promise();
    withLockedHolder(
        lockedHolder -> {
          lockedHolder.drain();
          return drainPromises.add(promise);
        });
    poll();
    return promise.future();
  }

  /** Retries pending reservations, then reads the stream or appends the records that are due. */
  void poll() {
    retryPendingReservations();
    completeDrains();
    long nowMs = clock.millis();
    boolean shouldReadFirst = withLockedHolder(lockedHolder -> !endReached && nowMs >= nextReadMs);
    if (shouldReadFirst) {
      withLockedHolder(lockedHolder -> nextReadMs = nowMs + READ_RETRY_INTERVAL_MS);
      reader.readToEnd();
      return;
    }
    List<BudgetRecord> dueRecords =
        withLockedHolder(
            lockedHolder -> {
              if (!endReached || appending) {
                return List.of();
              }
              List<BudgetRecord> records = lockedHolder.poll(nowMs);
              appending = !records.isEmpty();
              return records;
            });
    if (!dueRecords.isEmpty()) {
      append(dueRecords);
    } else if (withLockedHolder(lockedHolder -> nowMs >= nextReadMs)) {
      withLockedHolder(lockedHolder -> nextReadMs = nowMs + IDLE_READ_INTERVAL_MS);
      reader.readToEnd();
    }
  }

  private void append(List<BudgetRecord> dueRecords) {
    List<Bytes> payloads = dueRecords.stream().map(BudgetCodec::encode).toList();
    Future.fromCompletionStage(log.append(reader.stream(), payloads))
        .compose(firstOffset -> reader.readThrough(firstOffset + payloads.size() - 1))
        .onComplete(
            result -> {
              withLockedHolder(lockedHolder -> appending = false);
              if (result.failed()) {
                metrics.increment("budget_append_failures");
              }
              retryPendingReservations();
              completeDrains();
            });
  }

  private void retryPendingReservations() {
    List<PendingReservation> retried =
        withLockedHolder(
            lockedHolder -> {
              List<PendingReservation> all = List.copyOf(pendingReservations);
              pendingReservations.clear();
              return all;
            });
    for (PendingReservation each : retried) {
      if (!tryResolve(each)) {
        withLockedHolder(lockedHolder -> pendingReservations.add(each));
      }
    }
  }

  /**
   * Completes the reservation if its units are available, or fails it if the budget does not cover
   * them or its deadline has passed. Returns whether the reservation was resolved.
   */
  private boolean tryResolve(PendingReservation pending) {
    long nowMs = clock.millis();
    Optional<Reservation> reserved =
        withLockedHolder(
            lockedHolder -> lockedHolder.reserve(pending.team(), pending.units(), nowMs));
    if (reserved.isPresent()) {
      pending.promise().complete(reserved.get());
      return true;
    }
    BudgetAvailability available = availability(pending.team(), pending.units());
    boolean isUnobtainable =
        available != BudgetAvailability.PENDING
            && available != BudgetAvailability.READY
            && withLockedHolder(lockedHolder -> endReached);
    if (isUnobtainable) {
      pending.promise().fail(budgetExhausted(pending, available).asException());
      return true;
    }
    if (nowMs >= pending.deadlineMs()) {
      Problem timedOut =
          new Problem(
              ProblemCode.LOG_UNAVAILABLE, "the log granted no budget in time", RETRY_AFTER_MS);
      pending.promise().fail(timedOut.asException());
      return true;
    }
    return false;
  }

  private Problem budgetExhausted(PendingReservation pending, BudgetAvailability available) {
    long untilNextMs =
        withLockedHolder(
            lockedHolder -> lockedHolder.untilNextPeriodMs(pending.team(), clock.millis()));
    long retryAfterMs = available == BudgetAvailability.EXHAUSTED ? untilNextMs : 0;
    return new Problem(
        ProblemCode.BUDGET_EXHAUSTED,
        "the call may cost " + pending.units() + " units: " + available.name(),
        retryAfterMs);
  }

  private void completeDrains() {
    List<Promise<Void>> drained =
        withLockedHolder(
            lockedHolder -> {
              if (drainPromises.isEmpty() || !lockedHolder.isDrained()) {
                return List.of();
              }
              List<Promise<Void>> all = List.copyOf(drainPromises);
              drainPromises.clear();
              return all;
            });
    drained.forEach(Promise::tryComplete);
  }

  private <R> R withLockedHolder(Function<BudgetHolder, R> function) {
    lock.lock();
    try {
      return function.apply(holder);
    } finally {
      lock.unlock();
    }
  }

  private final class RecordListener implements StreamReader.Listener {

    @Override
    public void onGap(long firstRetainedOffset) {
      withLockedHolder(
          lockedHolder -> {
            accounts.restartFrom(firstRetainedOffset);
            return null;
          });
    }

    @Override
    public void onEntries(List<LogEntry> entries) {
      long nowMs = clock.millis();
      for (LogEntry entry : entries) {
        withLockedHolder(
            lockedHolder -> {
              apply(lockedHolder, entry, nowMs);
              return null;
            });
      }
      vertx.runOnContext(ignored -> retryPendingReservations());
    }

    @Override
    public void onEndReached() {
      withLockedHolder(
          lockedHolder -> {
            accounts.markCaughtUp();
            endReached = true;
            return null;
          });
    }

    private void apply(BudgetHolder lockedHolder, LogEntry entry, long nowMs) {
      try {
        BudgetRecord record = BudgetCodec.decode(entry.payload());
        BudgetVerdict verdict = accounts.apply(entry.offset(), record);
        lockedHolder.onApplied(record, verdict, nowMs);
      } catch (BudgetFormatException e) {
        metrics.increment("budget_malformed_records");
      }
    }
  }
}
