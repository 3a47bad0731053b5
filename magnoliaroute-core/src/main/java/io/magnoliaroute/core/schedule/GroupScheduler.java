package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.route.EndpointTable;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Schedules the calls of one endpoint group: admission, queueing, slot grants, preemption and
 * hedging. Does no I/O and reads no clock. Not thread-safe; callers must use an instance from one
 * thread or under one lock.
 */
public final class GroupScheduler {

  private static final long RETRY_AFTER_MS = 1_000;

  /**
   * Interval between searches for lapsed programs and idle teams, which take time linear in their
   * number.
   */
  private static final long CLEANUP_INTERVAL_MS = 1_000;

  private final SchedulingPolicy policy;
  private final SchedulerLimits limits;
  private final EndpointTable endpoints = new EndpointTable();
  private final CallQueues queues;
  private final AcceptedPrograms programs;
  private final GroupStatistics statistics = new GroupStatistics();
  private final UrgentRateLimiter urgentLimiter = new UrgentRateLimiter();
  private final AdmissionControl admission;
  private final SlotAllocator slots;
  private final Dispatcher dispatcher;
  private final PreemptionPlanner preemptions;
  private final HedgePlanner hedges;
  private final Map<RefusalReason, Long> refused = new EnumMap<>(RefusalReason.class);
  private long lastSequence;
  private long lastCleanupMs;
  private long accepted;
  private long urgentDemoted;
  private long granted;
  private long hedged;
  private long preempted;
  private long expired;

  /** Creates a scheduler without endpoints. */
  public GroupScheduler(SchedulingPolicy policy, SchedulerLimits limits) {
    this.policy = Objects.requireNonNull(policy, "policy");
    this.limits = Objects.requireNonNull(limits, "limits");
    this.queues = new CallQueues(limits);
    this.programs = new AcceptedPrograms(limits.programLapseMs());
    this.admission = new AdmissionControl(limits, programs, statistics, endpoints);
    this.slots = new SlotAllocator(limits, endpoints, queues, programs, statistics);
    this.dispatcher = new Dispatcher(queues, endpoints, statistics, slots);
    this.preemptions = new PreemptionPlanner(queues, endpoints, statistics, slots.running());
    this.hedges = new HedgePlanner(endpoints, dispatcher.chooser(), statistics, slots);
  }

  /** Adds an endpoint or updates its window, models and drain state. */
  public void putEndpoint(EndpointSpec endpoint) {
    endpoints.put(
        endpoint.id(),
        endpoint.dataCentre(),
        endpoint.windowSlots(),
        endpoint.urgentReservedSlots(),
        endpoint.loadedModels(),
        endpoint.draining());
  }

  /** Removes an endpoint. Grants on it stay in use until they are released or expire. */
  public void removeEndpoint(EndpointId id) {
    endpoints.remove(id);
  }

  /** Queues a call or refuses it; a refused call has not run. */
  public AdmissionDecision offer(WaitingCall call, long nowMs) {
    AdmissionDecision.Refused refusal = immediateRefusal(call);
    if (refusal != null) {
      return countRefusal(refusal);
    }
    if (!policy.isManaged()) {
      enqueue(call, PriorityClass.NORMAL, nowMs);
      return new AdmissionDecision.Accepted(false);
    }
    return offerManaged(call, nowMs);
  }

  /** Grants free slots to waiting calls and returns the grants, at most one for each call. */
  public List<SlotGrant> dispatch(long nowMs) {
    expired += slots.expire(nowMs);
    cleanUpIfDue(nowMs);
    endpoints.updateHealth(nowMs);
    List<SlotGrant> grants =
        policy.hasWindows()
            ? dispatcher.dispatchManaged(nowMs)
            : dispatcher.dispatchUnlimited(policy.isRoundRobin(), nowMs);
    granted += grants.size();
    return grants;
  }

  /** Records the progress of a running call. Unknown calls and grants are ignored. */
  public void observe(CallId id, CallObservation observation, long nowMs) {
    RunningCall call = slots.running().find(id, observation.grantId());
    if (call == null) {
      return;
    }
    slots.observe(call, observation, nowMs);
    endpoints.updateHealth(nowMs);
  }

  /** Releases the slot of a grant. Unknown calls and grants that have already ended are ignored. */
  public void release(CallId id, CallResult result, long nowMs) {
    RunningCall call = slots.running().find(id, result.grantId());
    if (call == null) {
      return;
    }
    slots.end(call, result, nowMs);
  }

  /**
   * Removes a waiting call whose caller disconnected. A running call keeps its slot until it is
   * released.
   *
   * @return whether the call was waiting; if so, it will not be granted
   */
  public boolean cancel(CallId id, long nowMs) {
    QueuedCall queued = queues.remove(id);
    if (queued == null) {
      return false;
    }
    programs.recordRelease(queued, 0, true, nowMs);
    return true;
  }

  /** Returns the bulk streams to cancel so that waiting urgent calls get their slots. */
  public List<Preemption> preempt(long nowMs) {
    if (!policy.isManaged()) {
      return List.of();
    }
    List<Preemption> planned = preemptions.plan();
    preempted += planned.size();
    return planned;
  }

  /**
   * Returns second grants for idempotent calls that run on slow endpoints. When one of the two
   * grants completes, the caller must cancel and release the other.
   */
  public List<SlotGrant> hedge(HedgePermission permission, long nowMs) {
    if (!policy.isManaged()) {
      return List.of();
    }
    endpoints.updateHealth(nowMs);
    List<SlotGrant> grants = hedges.plan(permission, nowMs);
    hedged += grants.size();
    granted += grants.size();
    return grants;
  }

  /**
   * Removes a program tree that ended, was cancelled or lapsed. Admission control estimates the
   * size of later programs from ended ones. A program that is never ended counts as ended when it
   * lapses.
   */
  public void endProgram(ProgramId rootProgram, long nowMs) {
    programs.end(rootProgram, nowMs);
  }

  /**
   * Restores a grant of a previous group owner after an owner change. The endpoint must be added
   * first, or its slot is not counted as used.
   */
  public void restore(WaitingCall call, SlotGrant grant, long nowMs) {
    if (slots.running().find(call.id(), grant.grantId()) != null) {
      return;
    }
    cancel(call.id(), nowMs);
    PriorityClass effectivePriority =
        grant.urgentDemoted() ? PriorityClass.NORMAL : call.priority();
    QueuedCall queued = toQueuedCall(call, effectivePriority, nowMs);
    programs.recordAccepted(queued, nowMs);
    slots.restore(queued, grant, nowMs);
  }

  /** Returns the number of calls waiting for a slot. */
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

  /** Returns whether the endpoint is slow, so that new calls are routed to other endpoints. */
  public boolean isSlow(EndpointId id) {
    return endpoints.isSlow(id);
  }

  /** Returns the number of calls in progress on the endpoint. */
  public int outstanding(EndpointId id) {
    return endpoints.outstanding(id);
  }

  /** Returns the counters of decisions made so far. */
  public SchedulerCounters counters() {
    return new SchedulerCounters(
        accepted, urgentDemoted, granted, hedged, preempted, expired, refused);
  }

  /** Returns the policy in force. */
  public SchedulingPolicy policy() {
    return policy;
  }

  private void cleanUpIfDue(long nowMs) {
    if (nowMs - lastCleanupMs < CLEANUP_INTERVAL_MS) {
      return;
    }
    lastCleanupMs = nowMs;
    programs.endLapsed(nowMs);
    queues.removeIdleTeams();
  }

  private AdmissionDecision.Refused immediateRefusal(WaitingCall call) {
    if (queues.contains(call.id()) || slots.running().contains(call.id())) {
      return new AdmissionDecision.Refused(RefusalReason.DUPLICATE_CALL, 0);
    }
    if (!endpoints.hasUsableEndpoint()) {
      return new AdmissionDecision.Refused(RefusalReason.NO_ENDPOINT, RETRY_AFTER_MS);
    }
    if (queues.size() >= limits.maxWaitingCalls()) {
      return new AdmissionDecision.Refused(RefusalReason.QUEUE_FULL, RETRY_AFTER_MS);
    }
    return null;
  }

  private AdmissionDecision offerManaged(WaitingCall call, long nowMs) {
    PriorityClass effectivePriority = call.priority();
    boolean demoted =
        effectivePriority == PriorityClass.URGENT
            && !urgentLimiter.isAvailable(call.team(), call.urgentRation(), nowMs);
    if (demoted) {
      effectivePriority = PriorityClass.NORMAL;
    }
    AdmissionDecision.Refused refusal = admission.refusal(call, effectivePriority, nowMs);
    if (refusal != null) {
      return countRefusal(refusal);
    }
    if (effectivePriority == PriorityClass.URGENT) {
      urgentLimiter.take(call.team());
    }
    urgentDemoted += demoted ? 1 : 0;
    enqueue(call, effectivePriority, nowMs);
    return new AdmissionDecision.Accepted(demoted);
  }

  private void enqueue(WaitingCall call, PriorityClass effectivePriority, long nowMs) {
    QueuedCall queued = toQueuedCall(call, effectivePriority, nowMs);
    accepted++;
    programs.recordAccepted(queued, nowMs);
    queues.add(queued);
  }

  private QueuedCall toQueuedCall(WaitingCall call, PriorityClass effectivePriority, long nowMs) {
    // Clocks of VMs differ, so the arrival time is clamped to [now - ageing bound, now].
    long queuedMs = Math.min(nowMs, Math.max(call.arrivedMs(), nowMs - limits.ageingBoundMs()));
    long attainedUnits =
        Math.max(call.attainedServiceUnits(), programs.attainedUnits(call.rootProgram()));
    double orderKey = policy.orderKey(call, attainedUnits, queuedMs);
    return new QueuedCall(call, effectivePriority, ++lastSequence, queuedMs, orderKey);
  }

  private AdmissionDecision.Refused countRefusal(AdmissionDecision.Refused refusal) {
    refused.merge(refusal.reason(), 1L, Long::sum);
    return refusal;
  }
}
