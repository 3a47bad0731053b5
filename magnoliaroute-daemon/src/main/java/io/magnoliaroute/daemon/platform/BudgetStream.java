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

/** One budget stream: the ledger, this VM's slices and the calls that wait for units. */
final class BudgetStream {

  private static final long RESERVE_WAIT_MS = 3_000;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final long RETRY_READ_MS = 200;
  private static final long IDLE_READ_MS = 2_000;
  // A VM that is held for dead by mistake comes back within the grace and keeps its slices.
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
        held -> {
          held.putTeam(team.id(), team.budget(), version);
          return null;
        });
  }

  void removeTeam(TeamId team) {
    locked(
        held -> {
          held.removeTeam(team);
          return null;
        });
  }

  Future<Reservation> reserve(TeamId team, long units) {
    Promise<Reservation> promise = Promise.promise();
    Waiting asked = new Waiting(team, units, clock.millis() + RESERVE_WAIT_MS, promise);
    if (!trySettle(asked)) {
      locked(held -> waiting.add(asked));
      poll();
    }
    return promise.future();
  }

  void settle(Reservation reservation, long spentUnits) {
    locked(
        held -> {
          held.settle(reservation, spentUnits);
          return null;
        });
  }

  /** Appends snapshots of accounts and reclaims slices of VMs that are gone. */
  void tend(Collection<VmId> live) {
    long nowMs = clock.millis();
    List<BudgetRecord> due =
        locked(
            held -> {
              if (!tipReached) {
                return List.of();
              }
              List<BudgetRecord> records = new ArrayList<>(carryForward.poll(ledger, live, nowMs));
              records.addAll(reclaimer.poll(ledger, live, nowMs));
              return records;
            });
    if (!due.isEmpty()) {
      Future.fromCompletionStage(
              log.append(tail.stream(), due.stream().map(BudgetCodec::encode).toList()))
          .onFailure(failure -> metrics.count("budget_append_failures"));
    }
  }

  BudgetAvailability availability(TeamId team, long units) {
    return locked(held -> held.availability(team, units, clock.millis()));
  }

  Future<Void> drain() {
    Promise<Void> promise = Promise.promise();
    locked(
        held -> {
          held.drain();
          return draining.add(promise);
        });
    poll();
    return promise.future();
  }

  /** Appends what is due and answers calls that wait. */
  void poll() {
    retryWaiting();
    finishDrain();
    long nowMs = clock.millis();
    boolean readFirst = locked(held -> !tipReached && nowMs >= nextReadMs);
    if (readFirst) {
      locked(held -> nextReadMs = nowMs + RETRY_READ_MS);
      tail.readToEnd();
      return;
    }
    List<BudgetRecord> due =
        locked(
            held -> {
              if (!tipReached || appending) {
                return List.of();
              }
              List<BudgetRecord> records = held.poll(nowMs);
              appending = !records.isEmpty();
              return records;
            });
    if (!due.isEmpty()) {
      append(due);
    } else if (locked(held -> nowMs >= nextReadMs)) {
      locked(held -> nextReadMs = nowMs + IDLE_READ_MS);
      tail.readToEnd();
    }
  }

  private void append(List<BudgetRecord> due) {
    List<Bytes> payloads = due.stream().map(BudgetCodec::encode).toList();
    Future.fromCompletionStage(log.append(tail.stream(), payloads))
        .compose(first -> tail.readThrough(first + payloads.size() - 1))
        .onComplete(
            done -> {
              locked(held -> appending = false);
              if (done.failed()) {
                metrics.count("budget_append_failures");
              }
              retryWaiting();
              finishDrain();
            });
  }

  private void retryWaiting() {
    List<Waiting> asked =
        locked(
            held -> {
              List<Waiting> all = List.copyOf(waiting);
              waiting.clear();
              return all;
            });
    for (Waiting each : asked) {
      if (!trySettle(each)) {
        locked(held -> waiting.add(each));
      }
    }
  }

  /** Answers the call if its units are there or will not come; returns whether it was answered. */
  private boolean trySettle(Waiting asked) {
    long nowMs = clock.millis();
    Optional<Reservation> made = locked(held -> held.reserve(asked.team(), asked.units(), nowMs));
    if (made.isPresent()) {
      asked.promise().complete(made.get());
      return true;
    }
    BudgetAvailability available = availability(asked.team(), asked.units());
    boolean isHopeless =
        available != BudgetAvailability.PENDING
            && available != BudgetAvailability.READY
            && locked(held -> tipReached);
    if (isHopeless) {
      asked.promise().fail(exhausted(asked, available).asException());
      return true;
    }
    if (nowMs >= asked.untilMs()) {
      Problem slow =
          new Problem(
              ProblemCode.LOG_UNAVAILABLE, "the log granted no budget in time", RETRY_AFTER_MS);
      asked.promise().fail(slow.asException());
      return true;
    }
    return false;
  }

  private Problem exhausted(Waiting asked, BudgetAvailability available) {
    long untilNextMs = locked(held -> held.untilNextPeriodMs(asked.team(), clock.millis()));
    long retryAfterMs = available == BudgetAvailability.EXHAUSTED ? untilNextMs : 0;
    return new Problem(
        ProblemCode.BUDGET_EXHAUSTED,
        "the call may cost " + asked.units() + " units: " + available.name(),
        retryAfterMs);
  }

  private void finishDrain() {
    List<Promise<Void>> done =
        locked(
            held -> {
              if (draining.isEmpty() || !held.isDrained()) {
                return List.of();
              }
              List<Promise<Void>> all = List.copyOf(draining);
              draining.clear();
              return all;
            });
    done.forEach(Promise::tryComplete);
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
          held -> {
            ledger.restartFrom(firstRetainedOffset);
            return null;
          });
    }

    @Override
    public void entries(List<LogEntry> entries) {
      long nowMs = clock.millis();
      for (LogEntry entry : entries) {
        locked(
            held -> {
              apply(held, entry, nowMs);
              return null;
            });
      }
      vertx.runOnContext(run -> retryWaiting());
    }

    @Override
    public void tip() {
      locked(
          held -> {
            ledger.markCaughtUp();
            tipReached = true;
            return null;
          });
    }

    private void apply(BudgetHolder held, LogEntry entry, long nowMs) {
      try {
        BudgetRecord decoded = BudgetCodec.decode(entry.payload());
        BudgetVerdict verdict = ledger.apply(entry.offset(), decoded);
        held.onApplied(decoded, verdict, nowMs);
      } catch (BudgetFormatException e) {
        metrics.count("budget_malformed_records");
      }
    }
  }
}
