package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/** A waiting or running call with its position in the queue order. */
final class QueuedCall {

  /**
   * Orders calls by order key; calls with equal keys are ordered by the sequence in which they were
   * offered.
   */
  static final Comparator<QueuedCall> BY_KEY =
      Comparator.comparingDouble((QueuedCall c) -> c.orderKey).thenComparingLong(c -> c.sequence);

  static final Comparator<QueuedCall> BY_ARRIVAL =
      Comparator.comparingLong((QueuedCall c) -> c.queuedMs).thenComparingLong(c -> c.sequence);

  final WaitingCall call;
  final PriorityClass effectivePriority;
  final boolean urgentDemoted;
  final long sequence;
  final long queuedMs;
  final double orderKey;
  private Map<EndpointId, Integer> cachedPrefixTokens;
  private long waitingSinceMs;
  private long deferredInDispatch;

  QueuedCall(
      WaitingCall call,
      PriorityClass effectivePriority,
      long sequence,
      long queuedMs,
      double orderKey) {
    this.call = call;
    this.effectivePriority = effectivePriority;
    this.urgentDemoted = effectivePriority != call.priority();
    this.sequence = sequence;
    this.queuedMs = queuedMs;
    this.orderKey = orderKey;
    this.cachedPrefixTokens = call.cachedPrefixTokens();
    this.waitingSinceMs = queuedMs;
  }

  boolean isUrgent() {
    return effectivePriority == PriorityClass.URGENT;
  }

  Map<EndpointId, Integer> cachedPrefixTokens() {
    return cachedPrefixTokens;
  }

  /**
   * Records a preemption: the endpoint now has the prompt in its prefix cache, and the waiting time
   * restarts.
   */
  void recordPreemption(EndpointId endpoint, long nowMs) {
    waitingSinceMs = nowMs;
    Map<EndpointId, Integer> updated = new HashMap<>(cachedPrefixTokens);
    updated.put(endpoint, call.promptTokens());
    cachedPrefixTokens = updated;
  }

  /** Skips the call for the rest of the dispatch, because it waits for a full endpoint. */
  void deferIn(long dispatchNumber) {
    deferredInDispatch = dispatchNumber;
  }

  boolean isDeferredIn(long dispatchNumber) {
    return deferredInDispatch == dispatchNumber;
  }

  /** Returns the time since the call was first queued, which decides ageing. */
  long ageMs(long nowMs) {
    return Math.max(0, nowMs - queuedMs);
  }

  /** Returns the time since the call began to wait for its current slot. */
  long waitedMs(long nowMs) {
    return Math.max(0, nowMs - waitingSinceMs);
  }
}
