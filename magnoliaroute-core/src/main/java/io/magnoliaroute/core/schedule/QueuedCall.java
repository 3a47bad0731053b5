package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/** A call in the queue or in a slot, with its place in the order. */
final class QueuedCall {

  /** Equal keys are served in the order of offers. */
  static final Comparator<QueuedCall> BY_KEY =
      Comparator.comparingDouble((QueuedCall c) -> c.orderKey).thenComparingLong(c -> c.sequence);

  static final Comparator<QueuedCall> BY_ARRIVAL =
      Comparator.comparingLong((QueuedCall c) -> c.queuedMs).thenComparingLong(c -> c.sequence);

  final WaitingCall call;
  final PriorityClass served;
  final boolean urgentDemoted;
  final long sequence;
  final long queuedMs;
  final double orderKey;
  private Map<EndpointId, Integer> cachedPrefixTokens;
  private long waitingSinceMs;
  private long parkedInDispatch;

  QueuedCall(
      WaitingCall call, PriorityClass served, long sequence, long queuedMs, double orderKey) {
    this.call = call;
    this.served = served;
    this.urgentDemoted = served != call.priority();
    this.sequence = sequence;
    this.queuedMs = queuedMs;
    this.orderKey = orderKey;
    this.cachedPrefixTokens = call.cachedPrefixTokens();
    this.waitingSinceMs = queuedMs;
  }

  boolean isUrgent() {
    return served == PriorityClass.URGENT;
  }

  Map<EndpointId, Integer> cachedPrefixTokens() {
    return cachedPrefixTokens;
  }

  /** Records a cancelled run: the endpoint holds the prompt, and the call waits from now on. */
  void waitAgain(EndpointId endpoint, long nowMs) {
    waitingSinceMs = nowMs;
    Map<EndpointId, Integer> changed = new HashMap<>(cachedPrefixTokens);
    changed.put(endpoint, call.promptTokens());
    cachedPrefixTokens = changed;
  }

  /** Passes the call over for the rest of the dispatch, because it waits for its endpoint. */
  void park(long dispatch) {
    parkedInDispatch = dispatch;
  }

  boolean isParked(long dispatch) {
    return parkedInDispatch == dispatch;
  }

  /** Returns the time since the call was first queued, which counts for ageing. */
  long ageMs(long nowMs) {
    return Math.max(0, nowMs - queuedMs);
  }

  /** Returns the time since the call began to wait for its present slot. */
  long waitedMs(long nowMs) {
    return Math.max(0, nowMs - waitingSinceMs);
  }
}
