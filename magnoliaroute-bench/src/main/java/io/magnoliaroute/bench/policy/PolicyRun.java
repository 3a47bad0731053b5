package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.schedule.AdmissionDecision;
import io.magnoliaroute.core.schedule.CallEnding;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.EndpointSpec;
import io.magnoliaroute.core.schedule.GroupScheduler;
import io.magnoliaroute.core.schedule.Preemption;
import io.magnoliaroute.core.schedule.SchedulerCounters;
import io.magnoliaroute.core.schedule.SchedulerLimits;
import io.magnoliaroute.core.schedule.SchedulingPolicy;
import io.magnoliaroute.core.schedule.ServiceUnits;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.core.schedule.WaitingCall;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One workload under one policy. The scheduler is the one that the daemon runs. */
final class PolicyRun implements EngineListener {

  private static final String MODEL = "agent";
  private static final int URGENT_RESERVED_SLOTS = 1;
  private static final long OBSERVE_EVERY_MICROS = 250_000;
  private static final long TICK_MS = 50;
  private static final long LOCAL_MICROS = 200;
  private static final long REMOTE_MICROS = 1_000;

  /** Stands for the retry budget: one hedge for this many calls. */
  private static final int CALLS_PER_HEDGE = 20;

  private final EventLoop loop = new EventLoop();
  private final Workload workload;
  private final boolean slowed;
  private final GroupScheduler scheduler;
  private final RunMeasures measures = new RunMeasures();
  private final Map<EndpointId, EngineFake> engines = new HashMap<>();
  private final Map<EndpointId, DataCentreId> places = new HashMap<>();
  private final Map<CallId, CallRun> offered = new HashMap<>();
  private int openPrograms;
  private long calls;
  private long hedgesGiven;

  /** Prepares a run; {@code slowed} turns on the slowed engines of the workload. */
  PolicyRun(Workload workload, SchedulingPolicy policy, boolean slowed) {
    this.workload = workload;
    this.slowed = slowed;
    this.scheduler = new GroupScheduler(policy, SchedulerLimits.defaults());
    for (int number = 0; number < workload.kind().engines(); number++) {
      addEngine(number);
    }
  }

  private void addEngine(int number) {
    EndpointId id = new EndpointId("engine-" + number);
    DataCentreId place = Workload.dataCentre(number % workload.kind().dataCentres());
    scheduler.putEndpoint(
        new EndpointSpec(
            id, place, EngineFake.BATCH_SEQUENCES, URGENT_RESERVED_SLOTS, Set.of(MODEL), false));
    engines.put(
        id,
        new EngineFake(loop, this, timeMs -> slowed && workload.kind().isSlowed(number, timeMs)));
    places.put(id, place);
  }

  RunMeasures run() {
    openPrograms = workload.programs().size();
    for (ProgramPlan plan : workload.programs()) {
      loop.atMs(plan.arrivalMs(), () -> new ProgramRun(plan, this).start());
    }
    loop.afterMs(TICK_MS, this::tick);
    loop.run();
    return measures;
  }

  SchedulerCounters counters() {
    return scheduler.counters();
  }

  EventLoop loop() {
    return loop;
  }

  void offer(CallRun call) {
    if (call.program.hasEnded()) {
      return;
    }
    call.offeredMicros = loop.nowMicros();
    AdmissionDecision decision = scheduler.offer(waitingCall(call), loop.nowMs());
    if (decision instanceof AdmissionDecision.Refused refused) {
      loop.afterMs(Math.max(1, refused.retryAfterMs()), () -> offer(call));
      return;
    }
    call.program.accepted = true;
    calls++;
    if (decision instanceof AdmissionDecision.Accepted accepted && accepted.urgentDemoted()) {
      call.urgentDemoted = true;
      measures.urgentDemoted();
    }
    dispatch();
  }

  /** Ends a call whose caller left. */
  void abandon(CallRun call) {
    call.done = true;
    scheduler.cancel(call.id, loop.nowMs());
    for (EngineSequence sequence : List.copyOf(call.sequences)) {
      cancel(sequence, CallEnding.CANCELLED);
    }
    dispatch();
  }

  void ended(ProgramRun program) {
    openPrograms--;
    scheduler.endProgram(program.plan.id(), loop.nowMs());
    measures.ended(program, slowed);
  }

  @Override
  public void admitted(EngineSequence sequence) {
    CallRun call = sequence.call;
    int reusable = Math.min(call.reusableTokens + call.producedBefore, sequence.promptTokens);
    call.program.recomputedTokens += Math.max(0, reusable - sequence.cachedTokens);
    boolean urgent = call.program.plan.priority() == PriorityClass.URGENT;
    if (urgent && !call.urgentDemoted && !call.admittedOnce) {
      measures.urgentWaited(call.program.plan, (loop.nowMicros() - call.offeredMicros) / 1_000);
    }
    call.admittedOnce = true;
  }

  @Override
  public void advanced(EngineSequence sequence) {
    boolean first = sequence.producedTokens == 1;
    if (!first && loop.nowMicros() - sequence.observedMicros < OBSERVE_EVERY_MICROS) {
      return;
    }
    sequence.observedMicros = loop.nowMicros();
    scheduler.observe(
        sequence.call.id,
        new CallObservation(
            sequence.grant.grantId(),
            sequence.timeToFirstTokenMs(),
            sequence.producedTokens,
            sequence.streamingMs()),
        loop.nowMs());
  }

  @Override
  public void finished(EngineSequence sequence) {
    CallRun call = sequence.call;
    call.done = true;
    call.sequences.remove(sequence);
    call.program.openCalls.remove(call);
    release(sequence, CallEnding.COMPLETED);
    for (EngineSequence other : List.copyOf(call.sequences)) {
      cancel(other, CallEnding.CANCELLED);
    }
    call.program.attainedUnits +=
        ServiceUnits.of(sequence.promptTokens - sequence.cachedTokens, sequence.outputTokens);
    if (!call.subAgent) {
      EndpointId endpoint = sequence.grant.endpoint();
      call.program.cachedAt.put(endpoint, sequence.promptTokens + sequence.outputTokens);
    }
    call.whenDone.run();
    dispatch();
  }

  private void tick() {
    dispatch();
    for (SlotGrant grant : scheduler.hedge((team, nowMs) -> tryHedge(), loop.nowMs())) {
      send(grant);
    }
    if (openPrograms > 0) {
      loop.afterMs(TICK_MS, this::tick);
    }
  }

  private boolean tryHedge() {
    if (hedgesGiven * CALLS_PER_HEDGE >= calls) {
      return false;
    }
    hedgesGiven++;
    return true;
  }

  private void dispatch() {
    for (SlotGrant grant : scheduler.dispatch(loop.nowMs())) {
      send(grant);
    }
    for (Preemption preemption : scheduler.preempt(loop.nowMs())) {
      CallRun victim = offered.get(preemption.victim());
      for (EngineSequence sequence : List.copyOf(victim.sequences)) {
        if (sequence.grant.grantId() == preemption.victimGrantId()) {
          loop.afterMicros(REMOTE_MICROS, () -> preempt(sequence));
        }
      }
    }
  }

  private void preempt(EngineSequence sequence) {
    if (sequence.ended) {
      return;
    }
    sequence.call.producedBefore += sequence.producedTokens;
    cancel(sequence, CallEnding.PREEMPTED);
    dispatch();
  }

  private void send(SlotGrant grant) {
    CallRun call = offered.get(grant.call());
    boolean local = places.get(grant.endpoint()).equals(call.program.plan.dataCentre());
    EngineSequence sequence =
        new EngineSequence(
            call,
            grant,
            call.promptTokens + call.producedBefore,
            call.outputTokens - call.producedBefore,
            loop.nowMicros());
    call.sequences.add(sequence);
    EngineFake engine = engines.get(grant.endpoint());
    loop.afterMicros(
        local ? LOCAL_MICROS : REMOTE_MICROS,
        () -> {
          if (!sequence.ended) {
            engine.submit(sequence);
          }
        });
  }

  private void cancel(EngineSequence sequence, CallEnding ending) {
    sequence.call.sequences.remove(sequence);
    engines.get(sequence.grant.endpoint()).abort(sequence);
    release(sequence, ending);
  }

  private void release(EngineSequence sequence, CallEnding ending) {
    scheduler.release(
        sequence.call.id,
        new CallResult(
            sequence.grant.grantId(),
            ending,
            sequence.cachedTokens,
            sequence.timeToFirstTokenMs(),
            sequence.producedTokens,
            sequence.streamingMs()),
        loop.nowMs());
  }

  private WaitingCall waitingCall(CallRun call) {
    ProgramRun program = call.program;
    ProgramPlan plan = program.plan;
    offered.put(call.id, call);
    return WaitingCall.builder(call.id, plan.team().id(), plan.dataCentre())
        .rootProgram(plan.id())
        .teamShare(plan.team().share())
        .urgentRation(plan.team().urgentRation())
        .priority(plan.priority())
        .times(loop.nowMs(), program.deadlineMs())
        .prompt(call.promptTokens, call.subAgent ? Map.of() : program.cachedAt)
        .attainedServiceUnits(program.attainedUnits)
        .underWay(program.accepted)
        .model(MODEL)
        .idempotent(true)
        .remainingServiceUnits(program.remainingUnits())
        .build();
  }
}
