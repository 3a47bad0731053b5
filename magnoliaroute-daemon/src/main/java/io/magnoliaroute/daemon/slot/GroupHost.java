package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.schedule.AdmissionDecision;
import io.magnoliaroute.core.schedule.CallEnding;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.EndpointSpec;
import io.magnoliaroute.core.schedule.GroupScheduler;
import io.magnoliaroute.core.schedule.Preemption;
import io.magnoliaroute.core.schedule.SchedulerLimits;
import io.magnoliaroute.core.schedule.SchedulingPolicy;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.core.schedule.WaitingCall;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;

/** Guards the scheduler of one group with a lock and holds the listener of each call. */
final class GroupHost {

  private final ReentrantLock lock = new ReentrantLock();
  private final GroupScheduler scheduler =
      new GroupScheduler(SchedulingPolicy.PROGRAM_LEAST_ATTAINED, SchedulerLimits.defaults());
  private final Map<CallId, SlotListener> listeners = new HashMap<>();
  private final Set<EndpointId> endpoints = new HashSet<>();

  void putEndpoints(List<EndpointSpec> specs) {
    lock.lock();
    try {
      Set<EndpointId> removed = new HashSet<>(endpoints);
      for (EndpointSpec spec : specs) {
        scheduler.putEndpoint(spec);
        endpoints.add(spec.id());
        removed.remove(spec.id());
      }
      removed.forEach(scheduler::removeEndpoint);
      endpoints.removeAll(removed);
    } finally {
      lock.unlock();
    }
  }

  void offer(WaitingCall call, SlotListener listener, long nowMs) {
    AdmissionDecision decision;
    lock.lock();
    try {
      decision = scheduler.offer(call, nowMs);
      if (decision.isAccepted()) {
        listeners.put(call.id(), listener);
      }
    } finally {
      lock.unlock();
    }
    if (decision instanceof AdmissionDecision.Refused refused) {
      listener.onRefused(refused.reason().wireName(), refused.retryAfterMs());
      return;
    }
    dispatch(nowMs);
  }

  void restore(WaitingCall call, SlotGrant grant, SlotListener listener, long nowMs) {
    lock.lock();
    try {
      scheduler.restore(call, grant, nowMs);
      listeners.put(call.id(), listener);
    } finally {
      lock.unlock();
    }
  }

  void observe(CallId id, CallObservation observation, long nowMs) {
    lock.lock();
    try {
      scheduler.observe(id, observation, nowMs);
    } finally {
      lock.unlock();
    }
  }

  void release(CallId id, CallResult result, long nowMs) {
    lock.lock();
    try {
      scheduler.release(id, result, nowMs);
      if (result.ending() != CallEnding.PREEMPTED) {
        listeners.remove(id);
      }
    } finally {
      lock.unlock();
    }
    dispatch(nowMs);
  }

  void cancel(CallId id, long nowMs) {
    lock.lock();
    try {
      if (scheduler.cancel(id, nowMs)) {
        listeners.remove(id);
      }
    } finally {
      lock.unlock();
    }
  }

  void endProgram(ProgramId root, long nowMs) {
    lock.lock();
    try {
      scheduler.endProgram(root, nowMs);
    } finally {
      lock.unlock();
    }
  }

  int waitingCount() {
    lock.lock();
    try {
      return scheduler.waitingCount();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Makes all grants and preemptions that are possible now. Listeners are called after the lock has
   * been released.
   */
  void dispatch(long nowMs) {
    List<Runnable> notifications = new ArrayList<>();
    lock.lock();
    try {
      for (SlotGrant grant : scheduler.dispatch(nowMs)) {
        SlotListener listener = listeners.get(grant.call());
        if (listener != null) {
          notifications.add(() -> listener.onGranted(grant));
        }
      }
      for (Preemption preemption : scheduler.preempt(nowMs)) {
        SlotListener listener = listeners.get(preemption.victim());
        if (listener != null) {
          notifications.add(() -> listener.onPreempted(preemption.victimGrantId()));
        }
      }
    } finally {
      lock.unlock();
    }
    notifications.forEach(Runnable::run);
  }
}
