package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The queue and the admitted window of one endpoint group. It does no I/O and reads no clock. An
 * instance is used from one thread or under one lock.
 */
public final class GroupScheduler {

  private static final long RETRY_AFTER_MS = 1_000;

  private final SchedulingPolicy policy;
  private final SchedulerLimits limits;
  private final Map<EndpointId, EndpointSpec> endpoints = new LinkedHashMap<>();
  private final Map<EndpointId, Integer> outstanding = new HashMap<>();
  private final Map<CallId, WaitingCall> waiting = new LinkedHashMap<>();
  private final Map<CallId, WaitingCall> admitted = new HashMap<>();
  private final Map<CallId, SlotGrant> grants = new HashMap<>();
  private long lastGrantId;

  /** Makes a scheduler without endpoints. */
  public GroupScheduler(SchedulingPolicy policy, SchedulerLimits limits) {
    this.policy = Objects.requireNonNull(policy, "policy");
    this.limits = Objects.requireNonNull(limits, "limits");
  }

  /** Adds an endpoint or changes its window, models or drain state. */
  public void putEndpoint(EndpointSpec endpoint) {
    endpoints.put(endpoint.id(), endpoint);
  }

  /** Removes an endpoint. Calls that run there stay known until they are released or expire. */
  public void removeEndpoint(EndpointId id) {
    endpoints.remove(id);
  }

  /** Takes a call into the queue or refuses it as not run. */
  public AdmissionDecision offer(WaitingCall call, long nowMs) {
    if (waiting.containsKey(call.id()) || admitted.containsKey(call.id())) {
      return new AdmissionDecision.Refused(RefusalReason.DUPLICATE_CALL, 0);
    }
    if (endpoints.values().stream().allMatch(EndpointSpec::draining)) {
      return new AdmissionDecision.Refused(RefusalReason.NO_ENDPOINT, RETRY_AFTER_MS);
    }
    if (waiting.size() >= limits.maxWaitingCalls()) {
      return new AdmissionDecision.Refused(RefusalReason.QUEUE_FULL, RETRY_AFTER_MS);
    }
    if (call.deadlineMs() <= nowMs) {
      return new AdmissionDecision.Refused(RefusalReason.DEADLINE_UNREACHABLE, 0);
    }
    waiting.put(call.id(), call);
    return new AdmissionDecision.Accepted(false);
  }

  /** Grants free slots to waiting calls, at most one grant for each call. */
  public List<SlotGrant> dispatch(long nowMs) {
    List<WaitingCall> order = new ArrayList<>(waiting.values());
    order.sort(Comparator.comparing(WaitingCall::priority));
    List<SlotGrant> made = new ArrayList<>();
    for (WaitingCall call : order) {
      EndpointSpec chosen = leastOutstanding();
      if (chosen == null) {
        return made;
      }
      made.add(grant(call, chosen, nowMs));
    }
    return made;
  }

  /** Takes in what was seen of a running call; unknown calls and grants are ignored. */
  public void observe(CallId id, CallObservation seen, long nowMs) {
    SlotGrant held = grants.get(id);
    if (held == null || held.grantId() != seen.grantId()) {
      return;
    }
  }

  /** Frees the slot of a grant; unknown calls and grants that ended before are ignored. */
  public void release(CallId id, CallResult result, long nowMs) {
    SlotGrant held = grants.get(id);
    if (held == null || held.grantId() != result.grantId()) {
      return;
    }
    grants.remove(id);
    outstanding.merge(held.endpoint(), -1, Integer::sum);
    WaitingCall call = admitted.remove(id);
    if (result.ending() == CallEnding.PREEMPTED) {
      waiting.put(id, call);
    }
  }

  /**
   * Forgets a call whose caller left. A call that runs keeps its slot until it is released.
   *
   * @return whether the call was waiting and will not be granted
   */
  public boolean cancel(CallId id, long nowMs) {
    return waiting.remove(id) != null;
  }

  /** Returns bulk streams to cancel so that waiting urgent calls get their slots. */
  public List<Preemption> preempt(long nowMs) {
    return List.of();
  }

  /** Returns second grants for idempotent calls that run on endpoints that turned out slow. */
  public List<SlotGrant> hedge(HedgePermission permission, long nowMs) {
    return List.of();
  }

  /** Forgets a program tree that ended, was cancelled or lapsed. */
  public void endProgram(ProgramId rootProgram, long nowMs) {}

  /** Takes over a grant that an earlier group owner made, after an owner change. */
  public void restore(WaitingCall call, SlotGrant held, long nowMs) {
    if (admitted.putIfAbsent(call.id(), call) != null) {
      return;
    }
    waiting.remove(call.id());
    grants.put(call.id(), held);
    outstanding.merge(held.endpoint(), 1, Integer::sum);
  }

  /** Returns the number of calls that wait for a slot. */
  public int waitingCount() {
    return waiting.size();
  }

  /** Returns the policy in force. */
  public SchedulingPolicy policy() {
    return policy;
  }

  private EndpointSpec leastOutstanding() {
    return endpoints.values().stream()
        .filter(e -> !e.draining() && outstandingAt(e) < e.windowSlots())
        .min(Comparator.comparingInt(this::outstandingAt))
        .orElse(null);
  }

  private int outstandingAt(EndpointSpec endpoint) {
    return outstanding.getOrDefault(endpoint.id(), 0);
  }

  private SlotGrant grant(WaitingCall call, EndpointSpec endpoint, long nowMs) {
    SlotGrant made =
        new SlotGrant(
            call.id(),
            endpoint.id(),
            ++lastGrantId,
            nowMs + limits.grantExpiryMs(),
            call.cachedPrefixTokensAt(endpoint.id()),
            !endpoint.hasLoaded(call.model()),
            false,
            false);
    waiting.remove(call.id());
    admitted.put(call.id(), call);
    grants.put(call.id(), made);
    outstanding.merge(endpoint.id(), 1, Integer::sum);
    return made;
  }
}
