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

/** Simulates one workload under one policy, with the same scheduler that the daemon runs. */
final class PolicySimulation implements EngineListener {

  private static final String MODEL = "agent";
  private static final int URGENT_RESERVED_SLOTS = 1;
  private static final long OBSERVATION_INTERVAL_MICROS = 250_000;
  private static final long TICK_INTERVAL_MS = 50;
  private static final long LOCAL_LATENCY_MICROS = 200;
  private static final long REMOTE_LATENCY_MICROS = 1_000;

  /** Models the retry budget of the daemon: one hedge is permitted per this many accepted calls. */
  private static final int ACCEPTED_CALLS_PER_HEDGE = 20;

  private final EventLoop loop = new EventLoop();
  private final Workload workload;
  private final boolean enginesSlowed;
  private final GroupScheduler scheduler;
  private final SimulationMetrics metrics = new SimulationMetrics();
  private final Map<EndpointId, SimulatedEngine> engines = new HashMap<>();
  private final Map<EndpointId, DataCentreId> dataCentres = new HashMap<>();
  private final Map<CallId, SimulatedCall> callsById = new HashMap<>();
  private int runningPrograms;
  private long acceptedCalls;
  private long hedgesPermitted;

  /** Creates a simulation; {@code enginesSlowed} enables the slowed engines of the workload. */
  PolicySimulation(Workload workload, SchedulingPolicy policy, boolean enginesSlowed) {
    this.workload = workload;
    this.enginesSlowed = enginesSlowed;
    this.scheduler = new GroupScheduler(policy, SchedulerLimits.defaults());
    for (int number = 0; number < workload.kind().engines(); number++) {
      addEngine(number);
    }
  }

  private void addEngine(int number) {
    EndpointId id = new EndpointId("engine-" + number);
    DataCentreId dataCentre = Workload.dataCentre(number % workload.kind().dataCentres());
    scheduler.putEndpoint(
        new EndpointSpec(
            id,
            dataCentre,
            SimulatedEngine.MAX_BATCH_SEQUENCES,
            URGENT_RESERVED_SLOTS,
            Set.of(MODEL),
            false));
    engines.put(
        id,
        new SimulatedEngine(
            loop, this, timeMs -> enginesSlowed && workload.kind().isSlowed(number, timeMs)));
    dataCentres.put(id, dataCentre);
  }

  SimulationMetrics run() {
    runningPrograms = workload.programs().size();
    for (ProgramSpec spec : workload.programs()) {
      loop.scheduleAtMs(spec.arrivalMs(), () -> new SimulatedProgram(spec, this).start());
    }
    loop.scheduleAfterMs(TICK_INTERVAL_MS, this::tick);
    loop.run();
    return metrics;
  }

  SchedulerCounters counters() {
    return scheduler.counters();
  }

  EventLoop loop() {
    return loop;
  }

  void offer(SimulatedCall call) {
    if (call.program.hasEnded()) {
      return;
    }
    call.offeredMicros = loop.nowMicros();
    AdmissionDecision decision = scheduler.offer(waitingCall(call), loop.nowMs());
    if (decision instanceof AdmissionDecision.Refused refused) {
      loop.scheduleAfterMs(Math.max(1, refused.retryAfterMs()), () -> offer(call));
      return;
    }
    call.program.accepted = true;
    acceptedCalls++;
    if (decision instanceof AdmissionDecision.Accepted accepted && accepted.urgentDemoted()) {
      call.urgentDemoted = true;
      metrics.recordUrgentDemotion();
    }
    dispatch();
  }

  /** Cancels a call whose caller has timed out. */
  void abandon(SimulatedCall call) {
    call.completed = true;
    scheduler.cancel(call.id, loop.nowMs());
    for (EngineSequence sequence : List.copyOf(call.sequences)) {
      cancel(sequence, CallEnding.CANCELLED);
    }
    dispatch();
  }

  void onProgramEnded(SimulatedProgram program) {
    runningPrograms--;
    scheduler.endProgram(program.spec.id(), loop.nowMs());
    metrics.recordProgramEnd(program, enginesSlowed);
  }

  @Override
  public void onAdmitted(EngineSequence sequence) {
    SimulatedCall call = sequence.call;
    int reusable =
        Math.min(call.reusableTokens + call.preemptedOutputTokens, sequence.promptTokens);
    call.program.recomputedTokens += Math.max(0, reusable - sequence.cachedTokens);
    boolean urgent = call.program.spec.priority() == PriorityClass.URGENT;
    if (urgent && !call.urgentDemoted && !call.everAdmitted) {
      metrics.recordUrgentWait(call.program.spec, (loop.nowMicros() - call.offeredMicros) / 1_000);
    }
    call.everAdmitted = true;
  }

  @Override
  public void onTokenGenerated(EngineSequence sequence) {
    boolean first = sequence.producedTokens == 1;
    if (!first && loop.nowMicros() - sequence.lastObservedMicros < OBSERVATION_INTERVAL_MICROS) {
      return;
    }
    sequence.lastObservedMicros = loop.nowMicros();
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
  public void onFinished(EngineSequence sequence) {
    SimulatedCall call = sequence.call;
    call.completed = true;
    call.sequences.remove(sequence);
    call.program.runningCalls.remove(call);
    release(sequence, CallEnding.COMPLETED);
    for (EngineSequence duplicate : List.copyOf(call.sequences)) {
      cancel(duplicate, CallEnding.CANCELLED);
    }
    call.program.attainedServiceUnits +=
        ServiceUnits.of(sequence.promptTokens - sequence.cachedTokens, sequence.outputTokens);
    if (!call.subAgent) {
      EndpointId endpoint = sequence.grant.endpoint();
      call.program.cachedTokensByEndpoint.put(
          endpoint, sequence.promptTokens + sequence.outputTokens);
    }
    call.onCompleted.run();
    dispatch();
  }

  private void tick() {
    dispatch();
    for (SlotGrant grant : scheduler.hedge((team, nowMs) -> tryAcquireHedge(), loop.nowMs())) {
      send(grant);
    }
    if (runningPrograms > 0) {
      loop.scheduleAfterMs(TICK_INTERVAL_MS, this::tick);
    }
  }

  private boolean tryAcquireHedge() {
    if (hedgesPermitted * ACCEPTED_CALLS_PER_HEDGE >= acceptedCalls) {
      return false;
    }
    hedgesPermitted++;
    return true;
  }

  private void dispatch() {
    for (SlotGrant grant : scheduler.dispatch(loop.nowMs())) {
      send(grant);
    }
    for (Preemption preemption : scheduler.preempt(loop.nowMs())) {
      SimulatedCall victim = callsById.get(preemption.victim());
      for (EngineSequence sequence : List.copyOf(victim.sequences)) {
        if (sequence.grant.grantId() == preemption.victimGrantId()) {
          loop.scheduleAfterMicros(REMOTE_LATENCY_MICROS, () -> preempt(sequence));
        }
      }
    }
  }

  private void preempt(EngineSequence sequence) {
    if (sequence.ended) {
      return;
    }
    sequence.call.preemptedOutputTokens += sequence.producedTokens;
    cancel(sequence, CallEnding.PREEMPTED);
    dispatch();
  }

  private void send(SlotGrant grant) {
    SimulatedCall call = callsById.get(grant.call());
    boolean local = dataCentres.get(grant.endpoint()).equals(call.program.spec.dataCentre());
    EngineSequence sequence =
        new EngineSequence(
            call,
            grant,
            call.promptTokens + call.preemptedOutputTokens,
            call.outputTokens - call.preemptedOutputTokens,
            loop.nowMicros());
    call.sequences.add(sequence);
    SimulatedEngine engine = engines.get(grant.endpoint());
    loop.scheduleAfterMicros(
        local ? LOCAL_LATENCY_MICROS : REMOTE_LATENCY_MICROS,
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

  private WaitingCall waitingCall(SimulatedCall call) {
    SimulatedProgram program = call.program;
    ProgramSpec spec = program.spec;
    callsById.put(call.id, call);
    return WaitingCall.builder(call.id, spec.team().id(), spec.dataCentre())
        .rootProgram(spec.id())
        .teamShare(spec.team().share())
        .urgentRation(spec.team().urgentRateLimit())
        .priority(spec.priority())
        .times(loop.nowMs(), program.deadlineMs())
        .prompt(call.promptTokens, call.subAgent ? Map.of() : program.cachedTokensByEndpoint)
        .attainedServiceUnits(program.attainedServiceUnits)
        .underWay(program.accepted)
        .model(MODEL)
        .idempotent(true)
        .remainingServiceUnits(program.remainingServiceUnits())
        .build();
  }
}
