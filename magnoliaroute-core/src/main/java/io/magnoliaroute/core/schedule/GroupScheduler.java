package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.route.EndpointBoard;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The queue and the admitted window of one endpoint group. It does no I/O and reads no clock. An
 * instance is used from one thread or under one lock.
 */
public final class GroupScheduler {

  private static final long RETRY_AFTER_MS = 1_000;

  /** Looking for lapsed programs and idle teams takes time linear in their number. */
  private static final long FORGET_INTERVAL_MS = 1_000;

  private final SchedulingPolicy policy;
  private final SchedulerLimits limits;
  private final EndpointBoard board = new EndpointBoard();
  private final CallQueues queues;
  private final ProgramLedger programs;
  private final GroupStatistics statistics = new GroupStatistics();
  private final UrgentRations rations = new UrgentRations();
  private final AdmissionControl admission;
  private final SlotLedger slots;
  private final Dispatcher dispatcher;
  private final PreemptionPlanner preemptions;
  private final HedgePlanner hedges;
  private final Map<RefusalReason, Long> refused = new EnumMap<>(RefusalReason.class);
  private long lastSequence;
  private long lastForgottenMs;
  private long accepted;
  private long urgentDemoted;
  private long granted;
  private long hedged;
  private long preempted;
  private long expired;

  /** Makes a scheduler without endpoints. */
  public GroupScheduler(SchedulingPolicy policy, SchedulerLimits limits) {
    this.policy = Objects.requireNonNull(policy, "policy");
    this.limits = Objects.requireNonNull(limits, "limits");
    this.queues = new CallQueues(limits);
    this.programs = new ProgramLedger(limits.programLapseMs());
    this.admission = new AdmissionControl(limits, programs, statistics, board);
    this.slots = new SlotLedger(limits, board, queues, programs, statistics);
    this.dispatcher = new Dispatcher(queues, board, statistics, slots);
    this.preemptions = new PreemptionPlanner(queues, board, statistics, slots.running());
    this.hedges = new HedgePlanner(board, dispatcher.chooser(), statistics, slots);
  }

  /** Adds an endpoint or changes its window, models or drain state. */
  public void putEndpoint(EndpointSpec endpoint) {
    board.put(
        endpoint.id(),
        endpoint.dataCentre(),
        endpoint.windowSlots(),
        endpoint.urgentReservedSlots(),
        endpoint.loadedModels(),
        endpoint.draining());
  }

  /** Removes an endpoint. Calls that run there stay known until they are released or expire. */
  public void removeEndpoint(EndpointId id) {
    board.remove(id);
  }

  /** Takes a call into the queue or refuses it as not run. */
  public AdmissionDecision offer(WaitingCall call, long nowMs) {
    AdmissionDecision.Refused refusal = structuralRefusal(call);
    if (refusal != null) {
      return count(refusal);
    }
    if (!policy.isManaged()) {
      enqueue(call, PriorityClass.NORMAL, nowMs);
      return new AdmissionDecision.Accepted(false);
    }
    return offerManaged(call, nowMs);
  }

  /** Grants free slots to waiting calls, at most one grant for each call. */
  public List<SlotGrant> dispatch(long nowMs) {
    expired += slots.expire(nowMs);
    forgetIfDue(nowMs);
    board.judge(nowMs);
    List<SlotGrant> made =
        policy.hasWindows()
            ? dispatcher.dispatchManaged(nowMs)
            : dispatcher.dispatchUnlimited(policy.takesTurns(), nowMs);
    granted += made.size();
    return made;
  }

  /** Takes in what was seen of a running call; unknown calls and grants are ignored. */
  public void observe(CallId id, CallObservation seen, long nowMs) {
    RunningCall call = slots.running().find(id, seen.grantId());
    if (call == null) {
      return;
    }
    slots.observe(call, seen, nowMs);
    board.judge(nowMs);
  }

  /** Frees the slot of a grant; unknown calls and grants that ended before are ignored. */
  public void release(CallId id, CallResult result, long nowMs) {
    RunningCall call = slots.running().find(id, result.grantId());
    if (call == null) {
      return;
    }
    slots.end(call, result, nowMs);
  }

  /**
   * Forgets a call whose caller left. A call that runs keeps its slot until it is released.
   *
   * @return whether the call was waiting and will not be granted
   */
  public boolean cancel(CallId id, long nowMs) {
    QueuedCall queued = queues.remove(id);
    if (queued == null) {
      return false;
    }
    programs.closed(queued, 0, true, nowMs);
    return true;
  }

  /** Returns bulk streams to cancel so that waiting urgent calls get their slots. */
  public List<Preemption> preempt(long nowMs) {
    if (!policy.isManaged()) {
      return List.of();
    }
    List<Preemption> planned = preemptions.plan();
    preempted += planned.size();
    return planned;
  }

  /**
   * Returns second grants for idempotent calls that run on endpoints that turned out slow. The
   * caller cancels and releases the other grant when one of the two completes.
   */
  public List<SlotGrant> hedge(HedgePermission permission, long nowMs) {
    if (!policy.isManaged()) {
      return List.of();
    }
    board.judge(nowMs);
    List<SlotGrant> made = hedges.plan(permission, nowMs);
    hedged += made.size();
    granted += made.size();
    return made;
  }

  /**
   * Forgets a program tree that ended, was cancelled or lapsed. The sizes of ended programs teach
   * the admission of later ones; a program that is never ended counts as ended when it lapses.
   */
  public void endProgram(ProgramId rootProgram, long nowMs) {
    programs.end(rootProgram, nowMs);
  }

  /**
   * Takes over a grant that an earlier group owner made, after an owner change. The endpoint is put
   * before, so that the slot is counted.
   */
  public void restore(WaitingCall call, SlotGrant held, long nowMs) {
    if (slots.running().find(call.id(), held.grantId()) != null) {
      return;
    }
    cancel(call.id(), nowMs);
    PriorityClass served = held.urgentDemoted() ? PriorityClass.NORMAL : call.priority();
    QueuedCall queued = queued(call, served, nowMs);
    programs.accepted(queued, nowMs);
    slots.restore(queued, held, nowMs);
  }

  /** Returns the number of calls that wait for a slot. */
  public int waitingCount() {
    return queues.size();
  }

  /** Returns the number of grants in use. */
  public int runningCount() {
    return slots.running().size();
  }

  /** Returns the number of program trees that are accepted and have not ended. */
  public int programCount() {
    return programs.size();
  }

  /** Returns whether new work is shifted away from the endpoint. */
  public boolean isShiftedAway(EndpointId id) {
    return board.isSlow(id);
  }

  /** Returns the calls admitted to the endpoint. */
  public int outstanding(EndpointId id) {
    return board.outstanding(id);
  }

  /** Returns what has been decided so far. */
  public SchedulerCounters counters() {
    return new SchedulerCounters(
        accepted, urgentDemoted, granted, hedged, preempted, expired, refused);
  }

  /** Returns the policy in force. */
  public SchedulingPolicy policy() {
    return policy;
  }

  private void forgetIfDue(long nowMs) {
    if (nowMs - lastForgottenMs < FORGET_INTERVAL_MS) {
      return;
    }
    lastForgottenMs = nowMs;
    programs.lapse(nowMs);
    queues.forgetIdleTeams();
  }

  private AdmissionDecision.Refused structuralRefusal(WaitingCall call) {
    if (queues.contains(call.id()) || slots.running().contains(call.id())) {
      return new AdmissionDecision.Refused(RefusalReason.DUPLICATE_CALL, 0);
    }
    if (!board.hasUsableEndpoint()) {
      return new AdmissionDecision.Refused(RefusalReason.NO_ENDPOINT, RETRY_AFTER_MS);
    }
    if (queues.size() >= limits.maxWaitingCalls()) {
      return new AdmissionDecision.Refused(RefusalReason.QUEUE_FULL, RETRY_AFTER_MS);
    }
    return null;
  }

  private AdmissionDecision offerManaged(WaitingCall call, long nowMs) {
    PriorityClass served = call.priority();
    boolean demoted =
        served == PriorityClass.URGENT && !rations.has(call.team(), call.urgentRation(), nowMs);
    if (demoted) {
      served = PriorityClass.NORMAL;
    }
    AdmissionDecision.Refused refusal = admission.refusal(call, served, nowMs);
    if (refusal != null) {
      return count(refusal);
    }
    if (served == PriorityClass.URGENT) {
      rations.take(call.team());
    }
    urgentDemoted += demoted ? 1 : 0;
    enqueue(call, served, nowMs);
    return new AdmissionDecision.Accepted(demoted);
  }

  private void enqueue(WaitingCall call, PriorityClass served, long nowMs) {
    QueuedCall queued = queued(call, served, nowMs);
    accepted++;
    programs.accepted(queued, nowMs);
    queues.add(queued);
  }

  private QueuedCall queued(WaitingCall call, PriorityClass served, long nowMs) {
    // Clocks of VMs differ, so an arrival is trusted only within the ageing bound.
    long queuedMs = Math.min(nowMs, Math.max(call.arrivedMs(), nowMs - limits.ageingBoundMs()));
    long attained =
        Math.max(call.attainedServiceUnits(), programs.attainedUnits(call.rootProgram()));
    double key = policy.orderKey(call, attained, queuedMs);
    return new QueuedCall(call, served, ++lastSequence, queuedMs, key);
  }

  private AdmissionDecision.Refused count(AdmissionDecision.Refused refusal) {
    refused.merge(refusal.reason(), 1L, Long::sum);
    return refusal;
  }
}
