package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.AbandonResult;
import io.magnoliaroute.core.log.Batch;
import io.magnoliaroute.core.log.CommitLimits;
import io.magnoliaroute.core.log.GroupCommitter;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.ReadRequest;
import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.RecordIdGenerator;
import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.program.AppliedRecord;
import io.magnoliaroute.core.program.EndReason;
import io.magnoliaroute.core.program.PartitionLease;
import io.magnoliaroute.core.program.PartitionOwner;
import io.magnoliaroute.core.program.PartitionReader;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.ProgramRecordCodec;
import io.magnoliaroute.core.program.SnapshotPlanner;
import io.magnoliaroute.core.program.Verdict;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One incarnation of a simulated VM, which drives the core classes in the same way as the daemon.
 */
final class SimVm {

  static final long LEASE_MS = 600;
  static final long RETENTION_MS = 6_000;
  private static final ActionTiming TIMING = new ActionTiming(400, 20, 100, LEASE_MS + 50, 800);
  private static final long STEP_MS = 20;
  private static final long SUSPECT_AFTER_MS = 300;
  private static final long READ_TIMEOUT_MS = 150;

  final String name;
  final PartitionReader reader = new PartitionReader("program-0", 16);
  private final VirtualTime time;
  private final FakeLog log;
  private final FakeService service;
  private final SequenceRun run;
  private final boolean pausesBeforeSend;
  private final RecordIdGenerator ids;
  private final PartitionLease lease;
  private final PartitionOwner owner;
  private final GroupCommitter committer;
  private final SimTurns turns;
  private final SnapshotPlanner planner = new SnapshotPlanner(RETENTION_MS, 600);
  private final Deque<ProgramRecord.Snapshot> snapshotParts = new ArrayDeque<>();
  private final List<ActionFlow> flows = new ArrayList<>();
  private final List<ActionRecovery> recoveries = new ArrayList<>();
  private final Map<RecordId, Consumer<Verdict>> startCallbacks = new HashMap<>();
  private final Map<ActionFlow, Consumer<ActionReply>> replyCallbacks = new HashMap<>();
  private boolean hasCrashed;
  private boolean wantsOwnership;
  private long pausedUntilMs;
  private long readIssuedAtMs = Long.MIN_VALUE / 2;
  private boolean isReading;
  private long nextClaimAtMs;
  private long recoveredEpoch;

  SimVm(int number, long incarnation, SequenceRun run, boolean pausesBeforeSend) {
    this.name = "vm-" + number + "#" + incarnation;
    this.time = run.time;
    this.log = run.log;
    this.service = run.service;
    this.run = run;
    this.pausesBeforeSend = pausesBeforeSend;
    WriterId writerId = new WriterId(new VmId("vm-" + number), incarnation);
    this.ids = new RecordIdGenerator(writerId);
    this.lease = new PartitionLease(writerId, reader, LEASE_MS);
    this.owner = new PartitionOwner(reader, lease, ids);
    CommitLimits limits = new CommitLimits(8, 4_000, 40, 60_000, 40, 30, 300);
    this.committer = new GroupCommitter("program-0", limits, time.splitRandom());
    this.turns = new SimTurns(name, time, reader);
    time.schedule(1, this::step);
  }

  void crash() {
    hasCrashed = true;
  }

  boolean hasCrashed() {
    return hasCrashed;
  }

  void pause(long durationMs) {
    pausedUntilMs = Math.max(pausedUntilMs, time.nowMs() + durationMs);
    if (durationMs > LEASE_MS) {
      time.schedule(SUSPECT_AFTER_MS, run::reassignOwnership);
    }
  }

  void setWantsOwnership(boolean ownership) {
    wantsOwnership = ownership;
  }

  boolean isOwner() {
    return lease.status() == PartitionLease.Status.HELD;
  }

  int openFlows() {
    return flows.size() + recoveries.size();
  }

  void start(ProgramId program, String clientKey, Consumer<Verdict> callback) {
    deliver(
        () -> {
          if (!isOwner()) {
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
          startCallbacks.put(record.id(), callback);
          append(record);
        });
  }

  void end(ProgramId program) {
    deliver(
        () -> {
          if (isOwner()) {
            append(
                new ProgramRecord.ProgramEnded(
                    ids.next(), lease.epoch(), program, EndReason.ENDED, 0));
          }
        });
  }

  void turn(ProgramId program, int number, String content, Consumer<SimTurns.Reply> callback) {
    deliver(
        () -> {
          if (isOwner() && reader.isComplete()) {
            turns.begin(program, number, content, callback, this::deliver);
          }
        });
  }

  void action(ActionRequest request, Consumer<ActionReply> callback) {
    deliver(
        () -> {
          ActionFlow flow = new ActionFlow(request, service.capabilities(), TIMING, owner);
          flows.add(flow);
          replyCallbacks.put(flow, callback);
          run(flow, callback, flow.start(time.nowMs()));
        });
  }

  /** Runs a step immediately, or after the current pause. Drops it if the VM has crashed. */
  private void deliver(Runnable step) {
    if (hasCrashed) {
      return;
    }
    if (time.nowMs() < pausedUntilMs) {
      time.schedule(pausedUntilMs - time.nowMs(), () -> deliver(step));
      return;
    }
    step.run();
  }

  private void step() {
    deliver(
        () -> {
          claim();
          appendRecords();
          read();
          tick();
          time.schedule(STEP_MS, this::step);
        });
  }

  private void claim() {
    boolean unclaimed =
        lease.status() == PartitionLease.Status.NOT_CLAIMED
            || lease.status() == PartitionLease.Status.LOST;
    boolean upToDate = reader.caughtUpAtMs().orElse(Long.MIN_VALUE / 2) > time.nowMs() - LEASE_MS;
    if (wantsOwnership && unclaimed && upToDate && time.nowMs() >= nextClaimAtMs) {
      nextClaimAtMs = time.nowMs() + time.randomBetween(300, 2_000);
      append(lease.nextClaim(ids));
    }
    if (isOwner() && reader.isComplete() && recoveredEpoch != lease.epoch()) {
      recoveredEpoch = lease.epoch();
      turns.reconcile();
      startRecoveries();
    }
  }

  private void startRecoveries() {
    for (var openIntent : reader.state().openIntents()) {
      if (!openIntent.intent().id().writer().equals(ids.writer())) {
        ActionRecovery recovery =
            new ActionRecovery(openIntent, service.capabilities(), TIMING, owner);
        recoveries.add(recovery);
        run(recovery, recovery.start(time.nowMs()));
      }
    }
  }

  private void appendRecords() {
    if (isOwner() && reader.isComplete()) {
      turns.flush(lease.epoch(), ids, this::append);
      if (planner.isDue(reader, time.nowMs())) {
        snapshotParts.clear();
        snapshotParts.addAll(planner.plan(reader.state(), ids, time.nowMs()));
      }
      boolean hasCapacity = committer.counters(time.nowMs()).pendingRecords() < 6;
      if (hasCapacity && !snapshotParts.isEmpty()) {
        append(snapshotParts.poll());
      }
    }
    committer.next(time.nowMs()).ifPresent(this::send);
  }

  private void send(Batch batch) {
    log.append(
        batch.payloads(),
        offset -> deliver(() -> committer.recordAppended(batch, offset)),
        kind -> deliver(() -> committer.recordFailure(batch, kind, time.nowMs())));
  }

  private void read() {
    if (isReading && time.nowMs() - readIssuedAtMs < READ_TIMEOUT_MS) {
      return;
    }
    isReading = true;
    long issuedAtMs = time.nowMs();
    readIssuedAtMs = issuedAtMs;
    ReadRequest request = reader.nextRead();
    log.read(
        request,
        page -> deliver(() -> onPage(request, page, issuedAtMs)),
        kind ->
            deliver(
                () -> {
                  isReading = false;
                  reader.onReadFailed(kind);
                }));
  }

  private void onPage(ReadRequest request, LogPage page, long issuedAtMs) {
    isReading = false;
    PartitionReader.ReadResult result = reader.accept(request, page, issuedAtMs);
    if (result.isRestored()) {
      turns.reconcile();
      for (ActionFlow flow : List.copyOf(flows)) {
        run(flow, replyCallbacks.get(flow), flow.onRestored(time.nowMs()));
      }
    }
    result.applied().forEach(this::onApplied);
  }

  private void onApplied(AppliedRecord applied) {
    committer.recordReadBack(applied.record().id());
    turns.onApplied(applied);
    Consumer<Verdict> start = startCallbacks.remove(applied.record().id());
    if (start != null) {
      start.accept(applied.verdict());
    }
    for (ActionFlow flow : List.copyOf(flows)) {
      run(flow, replyCallbacks.get(flow), flow.onApplied(applied, time.nowMs()));
    }
  }

  private void tick() {
    for (ActionFlow flow : List.copyOf(flows)) {
      run(flow, replyCallbacks.get(flow), flow.tick(time.nowMs()));
    }
    flows.removeIf(ActionFlow::isClosed);
    replyCallbacks.keySet().retainAll(flows);
    for (ActionRecovery recovery : List.copyOf(recoveries)) {
      run(recovery, recovery.tick(time.nowMs()));
    }
    recoveries.removeIf(ActionRecovery::isClosed);
    turns.notifyWaiters();
  }

  private boolean append(ProgramRecord record) {
    return committer.add(ProgramRecordCodec.toLogRecord(record), time.nowMs()).isAccepted();
  }

  private void run(ActionFlow flow, Consumer<ActionReply> callback, List<ActionEffect> effects) {
    for (ActionEffect effect : effects) {
      if (effect instanceof ActionEffect.Append append) {
        if (!append(append.record())) {
          run(flow, callback, flow.onAppendRefused(append.record().id(), time.nowMs()));
        }
      } else if (effect instanceof ActionEffect.CancelAppend cancel) {
        AbandonResult result = committer.abandon(cancel.id());
        run(flow, callback, flow.onAppendCancelled(result, time.nowMs()));
      } else if (effect instanceof ActionEffect.PrepareSend) {
        if (run.faultsEnabled() && time.randomBoolean(0.05)) {
          pause(time.randomBetween(300, 4_000));
        }
        long readyInMs = time.randomBetween(0, 30);
        time.schedule(
            readyInMs, () -> deliver(() -> run(flow, callback, flow.beginSend(time.nowMs()))));
      } else if (effect instanceof ActionEffect.Send send) {
        sendAction(flow, callback, send);
      } else if (effect instanceof ActionEffect.QueryStatus query) {
        long token = query.fencingToken();
        queryStatus(
            query,
            response -> run(flow, callback, flow.onStatusResponse(response, token, time.nowMs())));
      } else if (effect instanceof ActionEffect.Reply reply) {
        callback.accept(reply.reply());
      }
    }
  }

  private void queryStatus(ActionEffect.QueryStatus query, Consumer<StatusResponse> onResponse) {
    service.queryStatus(query, response -> deliver(() -> onResponse.accept(response)));
  }

  private void sendAction(ActionFlow flow, Consumer<ActionReply> callback, ActionEffect.Send send) {
    if (run.faultsEnabled() && time.randomBoolean(0.03)) {
      crash();
      return;
    }
    if (pausesBeforeSend && run.faultsEnabled() && time.randomBoolean(0.15)) {
      pause(time.randomBetween(500, 4_000));
    }
    deliver(
        () ->
            service.call(
                send,
                name,
                result -> deliver(() -> run(flow, callback, flow.onResponse(result, time.nowMs()))),
                failure ->
                    deliver(() -> run(flow, callback, flow.onSendFailed(failure, time.nowMs())))));
    if (run.faultsEnabled() && time.randomBoolean(0.03)) {
      crash();
    }
  }

  private void run(ActionRecovery recovery, List<ActionEffect> effects) {
    for (ActionEffect effect : effects) {
      if (effect instanceof ActionEffect.Append append) {
        if (!append(append.record())) {
          run(recovery, recovery.onAppendRefused(append.record().id(), time.nowMs()));
        }
      } else if (effect instanceof ActionEffect.QueryStatus query) {
        long token = query.fencingToken();
        queryStatus(
            query,
            response -> run(recovery, recovery.onStatusResponse(response, token, time.nowMs())));
      }
    }
  }
}
