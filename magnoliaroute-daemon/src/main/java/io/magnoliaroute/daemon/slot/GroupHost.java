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

/** One group's scheduler under its lock, with who waits for which call. */
final class GroupHost {

  private final ReentrantLock lock = new ReentrantLock();
  private final GroupScheduler scheduler =
      new GroupScheduler(SchedulingPolicy.PROGRAM_LEAST_ATTAINED, SchedulerLimits.defaults());
  private final Map<CallId, SlotListener> listeners = new HashMap<>();
  private final Set<EndpointId> endpoints = new HashSet<>();

  void putEndpoints(List<EndpointSpec> specs) {
    lock.lock();
    try {
      Set<EndpointId> gone = new HashSet<>(endpoints);
      for (EndpointSpec spec : specs) {
        scheduler.putEndpoint(spec);
        endpoints.add(spec.id());
        gone.remove(spec.id());
      }
      gone.forEach(scheduler::removeEndpoint);
      endpoints.removeAll(gone);
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
      listener.refused(refused.reason().wireName(), refused.retryAfterMs());
      return;
    }
    dispatch(nowMs);
  }

  void restore(WaitingCall call, SlotGrant held, SlotListener listener, long nowMs) {
    lock.lock();
    try {
      scheduler.restore(call, held, nowMs);
      listeners.put(call.id(), listener);
    } finally {
      lock.unlock();
    }
  }

  void observe(CallId id, CallObservation seen, long nowMs) {
    lock.lock();
    try {
      scheduler.observe(id, seen, nowMs);
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

  /** Grants what can be granted and tells the listeners after the lock. */
  void dispatch(long nowMs) {
    List<Runnable> calls = new ArrayList<>();
    lock.lock();
    try {
      for (SlotGrant grant : scheduler.dispatch(nowMs)) {
        SlotListener listener = listeners.get(grant.call());
        if (listener != null) {
          calls.add(() -> listener.granted(grant));
        }
      }
      for (Preemption order : scheduler.preempt(nowMs)) {
        SlotListener listener = listeners.get(order.victim());
        if (listener != null) {
          calls.add(() -> listener.preempted(order.victimGrantId()));
        }
      }
    } finally {
      lock.unlock();
    }
    calls.forEach(Runnable::run);
  }
}
