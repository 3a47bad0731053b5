package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.AbandonResult;
import io.magnoliaroute.core.log.Batch;
import io.magnoliaroute.core.log.CommitLimits;
import io.magnoliaroute.core.log.GroupCommitter;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.ReadRequest;
import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.RecordSequence;
import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.program.AppliedRecord;
import io.magnoliaroute.core.program.EndReason;
import io.magnoliaroute.core.program.HeldTurn;
import io.magnoliaroute.core.program.HistoryBuffer;
import io.magnoliaroute.core.program.PartitionLease;
import io.magnoliaroute.core.program.PartitionOwner;
import io.magnoliaroute.core.program.PartitionReader;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.ProgramRecordCodec;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.program.SnapshotPlanner;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.core.program.Verdict;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** One run of one VM, driving the core classes as the daemon does. */
final class SimVm {

  static final long LEASE_MS = 600;
  static final long RETENTION_MS = 6_000;
  private static final ActionTiming TIMING = new ActionTiming(400, 20, 100, LEASE_MS + 50, 800);
  private static final long STEP_MS = 20;
  private static final long SUSPECT_AFTER_MS = 300;
  private static final long READ_TIMEOUT_MS = 150;
  private static final long UNLOGGED_AFTER_MS = 700;
  private static final int PARTITION = 0;

  /** A turn that a caller waits for. */
  private record Waiter(Turn turn, long sinceMs, Consumer<TurnReply> told) {}

  /** What a caller is told of a turn; the next turn number is that of the owner's view. */
  record TurnReply(boolean done, boolean logged, int nextTurn) {}

  final String name;
  final PartitionReader reader = new PartitionReader("program-0", 16);
  private final VirtualTime time;
  private final FakeLog log;
  private final FakeService service;
  private final SequenceRun run;
  private final boolean pausesBeforeSend;
  private final RecordSequence ids;
  private final PartitionLease lease;
  private final PartitionOwner owner;
  private final GroupCommitter committer;
  private final HistoryBuffer history = new HistoryBuffer(4_000, 4);
  private final SnapshotPlanner planner = new SnapshotPlanner(RETENTION_MS, 600);
  private final Deque<ProgramRecord.Snapshot> snapshotParts = new ArrayDeque<>();
  private final List<ActionFlow> flows = new ArrayList<>();
  private final List<ActionRecovery> recoveries = new ArrayList<>();
  private final Map<RecordId, Consumer<Verdict>> starts = new HashMap<>();
  private final Map<ProgramId, Waiter> waiters = new HashMap<>();
  private final Map<ActionFlow, Consumer<ActionReply>> callers = new HashMap<>();
  private boolean crashed;
  private boolean wantsOwnership;
  private long pausedUntilMs;
  private long readIssuedAtMs = Long.MIN_VALUE / 2;
  private boolean reading;
  private long nextClaimAtMs;
  private long recoveredEpoch;

  SimVm(int number, long incarnation, SequenceRun run, boolean pausesBeforeSend) {
    this.name = "vm-" + number + "#" + incarnation;
    this.time = run.time;
    this.log = run.log;
    this.service = run.service;
    this.run = run;
    this.pausesBeforeSend = pausesBeforeSend;
    WriterId me = new WriterId(new VmId("vm-" + number), incarnation);
    this.ids = new RecordSequence(me);
    this.lease = new PartitionLease(me, reader, LEASE_MS);
    this.owner = new PartitionOwner(reader, lease, ids);
    CommitLimits limits = new CommitLimits(8, 4_000, 40, 60_000, 40, 30, 300);
    this.committer = new GroupCommitter("program-0", limits, time.split());
    time.in(1, this::step);
  }

  void crash() {
    crashed = true;
  }

  boolean crashed() {
    return crashed;
  }

  void pause(long durationMs) {
    pausedUntilMs = Math.max(pausedUntilMs, time.nowMs() + durationMs);
    if (durationMs > LEASE_MS) {
      time.in(SUSPECT_AFTER_MS, run::moveOwnership);
    }
  }

  void want(boolean ownership) {
    wantsOwnership = ownership;
  }

  boolean held() {
    return lease.status() == PartitionLease.Status.HELD;
  }

  int openFlows() {
    return flows.size() + recoveries.size();
  }

  void start(ProgramId program, String clientKey, Consumer<Verdict> told) {
    deliver(
        () -> {
          if (!held()) {
            return;
          }
          ProgramRecord.ProgramStarted record =
              new ProgramRecord.ProgramStarted(
                  ids.next(),
                  lease.epoch(),
                  program,
                  new TeamId("team"),
                  PriorityClass.NORMAL,
                  time.nowMs(),
                  0,
                  Optional.empty(),
                  Optional.of(clientKey));
          starts.put(record.id(), told);
          append(record);
        });
  }

  void end(ProgramId program) {
    deliver(
        () -> {
          if (held()) {
            append(
                new ProgramRecord.ProgramEnded(
                    ids.next(), lease.epoch(), program, EndReason.ENDED, 0));
          }
        });
  }

  void turn(ProgramId program, int number, String content, Consumer<TurnReply> told) {
    deliver(
        () -> {
          Optional<ProgramView> view = reader.state().program(program);
          if (!held() || !reader.complete() || view.isEmpty()) {
            return;
          }
          int next = history.nextTurn(program, view.get().nextTurn());
          boolean fits = number == next && history.reserve(PARTITION, program, 60).held();
          if (!fits) {
            told.accept(new TurnReply(false, false, next));
            return;
          }
          Bytes answer = Bytes.ofUtf8(name + "<" + previous(program, view.get()));
          Turn turn = new Turn(number, 0, Bytes.ofUtf8(content), answer, 1, 1);
          time.in(time.between(10, 80), () -> deliver(() -> complete(program, turn, told)));
        });
  }

  void action(ActionRequest request, Consumer<ActionReply> told) {
    deliver(
        () -> {
          ActionFlow flow = new ActionFlow(request, service.traits(), TIMING, owner);
          flows.add(flow);
          callers.put(flow, told);
          run(flow, told, flow.start(time.nowMs()));
        });
  }

  /** Returns the request of the newest turn, which the answer to the next one depends on. */
  private String previous(ProgramId program, ProgramView view) {
    List<Turn> turns = new ArrayList<>(view.turns());
    turns.addAll(history.turns(program));
    return turns.isEmpty() ? "" : turns.get(turns.size() - 1).request().toUtf8();
  }

  private void complete(ProgramId program, Turn turn, Consumer<TurnReply> told) {
    int logged = reader.state().program(program).map(ProgramView::nextTurn).orElse(0);
    if (!history.hold(new HeldTurn(PARTITION, program, turn), logged).held()) {
      history.release(program);
      return;
    }
    waiters.put(program, new Waiter(turn, time.nowMs(), told));
  }

  /** Runs a step now, or after the pause, unless the VM has crashed. */
  private void deliver(Runnable step) {
    if (crashed) {
      return;
    }
    if (time.nowMs() < pausedUntilMs) {
      time.in(pausedUntilMs - time.nowMs(), () -> deliver(step));
      return;
    }
    step.run();
  }

  private void step() {
    deliver(
        () -> {
          claim();
          write();
          read();
          tick();
          time.in(STEP_MS, this::step);
        });
  }

  private void claim() {
    boolean missing =
        lease.status() == PartitionLease.Status.NOT_CLAIMED
            || lease.status() == PartitionLease.Status.LOST;
    boolean current = reader.provenAtMs().orElse(Long.MIN_VALUE / 2) > time.nowMs() - LEASE_MS;
    if (wantsOwnership && missing && current && time.nowMs() >= nextClaimAtMs) {
      nextClaimAtMs = time.nowMs() + time.between(300, 2_000);
      append(lease.claim(ids));
    }
    if (held() && reader.complete() && recoveredEpoch != lease.epoch()) {
      recoveredEpoch = lease.epoch();
      history.rewrite(PARTITION);
      history.reconcile(PARTITION, reader.state());
      startRecoveries();
    }
  }

  private void startRecoveries() {
    for (var open : reader.state().openIntents()) {
      if (!open.intent().id().writer().equals(ids.writer())) {
        ActionRecovery recovery = new ActionRecovery(open, service.traits(), TIMING, owner);
        recoveries.add(recovery);
        run(recovery, recovery.start(time.nowMs()));
      }
    }
  }

  private void write() {
    if (held() && reader.complete()) {
      for (var record : history.flush(PARTITION, lease.epoch(), ids)) {
        if (!append(record)) {
          history.notTaken(record);
        }
      }
      if (planner.due(reader, time.nowMs())) {
        snapshotParts.clear();
        snapshotParts.addAll(planner.plan(reader.state(), ids, time.nowMs()));
      }
      boolean room = committer.counters(time.nowMs()).pendingRecords() < 6;
      if (room && !snapshotParts.isEmpty()) {
        append(snapshotParts.poll());
      }
    }
    committer.next(time.nowMs()).ifPresent(this::send);
  }

  private void send(Batch batch) {
    log.append(
        batch.payloads(),
        offset -> deliver(() -> committer.appended(batch, offset)),
        kind -> deliver(() -> committer.failed(batch, kind, time.nowMs())));
  }

  private void read() {
    if (reading && time.nowMs() - readIssuedAtMs < READ_TIMEOUT_MS) {
      return;
    }
    reading = true;
    long issuedAtMs = time.nowMs();
    readIssuedAtMs = issuedAtMs;
    ReadRequest request = reader.nextRead();
    log.read(
        request,
        page -> deliver(() -> onPage(request, page, issuedAtMs)),
        kind ->
            deliver(
                () -> {
                  reading = false;
                  reader.failed(kind);
                }));
  }

  private void onPage(ReadRequest request, LogPage page, long issuedAtMs) {
    reading = false;
    PartitionReader.ReadResult result = reader.accept(request, page, issuedAtMs);
    if (result.restored()) {
      history.rewrite(PARTITION);
      history.reconcile(PARTITION, reader.state());
      for (ActionFlow flow : List.copyOf(flows)) {
        run(flow, callers.get(flow), flow.onRestored(time.nowMs()));
      }
    }
    result.applied().forEach(this::onApplied);
  }

  private void onApplied(AppliedRecord applied) {
    committer.readBack(applied.record().id());
    history.onApplied(applied, reader.state());
    Consumer<Verdict> start = starts.remove(applied.record().id());
    if (start != null) {
      start.accept(applied.verdict());
    }
    for (ActionFlow flow : List.copyOf(flows)) {
      run(flow, callers.get(flow), flow.onApplied(applied, time.nowMs()));
    }
  }

  private void tick() {
    for (ActionFlow flow : List.copyOf(flows)) {
      run(flow, callers.get(flow), flow.tick(time.nowMs()));
    }
    flows.removeIf(ActionFlow::closed);
    callers.keySet().retainAll(flows);
    for (ActionRecovery recovery : List.copyOf(recoveries)) {
      run(recovery, recovery.tick(time.nowMs()));
    }
    recoveries.removeIf(ActionRecovery::closed);
    for (ProgramId program : List.copyOf(waiters.keySet())) {
      answer(program, waiters.get(program));
    }
  }

  private void answer(ProgramId program, Waiter waiter) {
    Optional<ProgramView> view = reader.state().program(program);
    int number = waiter.turn().number();
    boolean logged =
        reader.complete()
            && view.isPresent()
            && view.get().nextTurn() > number
            && view.get().turns().get(number).equals(waiter.turn());
    boolean heldStill = history.turns(program).contains(waiter.turn());
    boolean late = time.nowMs() - waiter.sinceMs() > UNLOGGED_AFTER_MS;
    if (logged || (heldStill && late)) {
      waiter.told().accept(new TurnReply(true, logged, number + 1));
      waiters.remove(program);
    } else if (!heldStill) {
      waiters.remove(program);
    }
  }

  private boolean append(ProgramRecord record) {
    return committer.add(ProgramRecordCodec.toLogRecord(record), time.nowMs()).accepted();
  }

  private void run(ActionFlow flow, Consumer<ActionReply> told, List<ActionEffect> effects) {
    for (ActionEffect effect : effects) {
      if (effect instanceof ActionEffect.Append append) {
        if (!append(append.record())) {
          run(flow, told, flow.appendRefused(append.record().id(), time.nowMs()));
        }
      } else if (effect instanceof ActionEffect.CancelAppend cancel) {
        AbandonResult result = committer.abandon(cancel.id());
        run(flow, told, flow.appendCancelled(result, time.nowMs()));
      } else if (effect instanceof ActionEffect.PrepareSend) {
        if (run.chaotic() && time.chance(0.05)) {
          pause(time.between(300, 4_000));
        }
        long readyInMs = time.between(0, 30);
        time.in(readyInMs, () -> deliver(() -> run(flow, told, flow.beginSend(time.nowMs()))));
      } else if (effect instanceof ActionEffect.Send send) {
        sendAction(flow, told, send);
      } else if (effect instanceof ActionEffect.QueryStatus query) {
        long token = query.fencingToken();
        ask(query, answer -> run(flow, told, flow.onStatus(answer, token, time.nowMs())));
      } else if (effect instanceof ActionEffect.Reply reply) {
        told.accept(reply.reply());
      }
    }
  }

  private void ask(ActionEffect.QueryStatus query, Consumer<StatusAnswer> answered) {
    service.status(query, answer -> deliver(() -> answered.accept(answer)));
  }

  private void sendAction(ActionFlow flow, Consumer<ActionReply> told, ActionEffect.Send send) {
    if (run.chaotic() && time.chance(0.03)) {
      crash();
      return;
    }
    if (pausesBeforeSend && run.chaotic() && time.chance(0.15)) {
      pause(time.between(500, 4_000));
    }
    deliver(
        () ->
            service.call(
                send,
                name,
                result -> deliver(() -> run(flow, told, flow.onAnswer(result, time.nowMs()))),
                failure ->
                    deliver(() -> run(flow, told, flow.onSendFailed(failure, time.nowMs())))));
    if (run.chaotic() && time.chance(0.03)) {
      crash();
    }
  }

  private void run(ActionRecovery recovery, List<ActionEffect> effects) {
    for (ActionEffect effect : effects) {
      if (effect instanceof ActionEffect.Append append) {
        if (!append(append.record())) {
          run(recovery, recovery.appendRefused(append.record().id(), time.nowMs()));
        }
      } else if (effect instanceof ActionEffect.QueryStatus query) {
        long token = query.fencingToken();
        ask(query, answer -> run(recovery, recovery.onStatus(answer, token, time.nowMs())));
      }
    }
  }
}
