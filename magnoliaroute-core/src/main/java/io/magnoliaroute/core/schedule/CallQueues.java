package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.PriorityClass;
import java.util.HashMap;
import java.util.Map;

/** Waiting calls of all priority classes. */
final class CallQueues {

  private static final PriorityClass[] CLASSES = PriorityClass.values();

  private final SchedulerLimits limits;
  private final Map<CallId, QueuedCall> waitingById = new HashMap<>();
  private final ClassQueue[] classes = new ClassQueue[CLASSES.length];
  private int dispatchesSinceAgedCall;

  CallQueues(SchedulerLimits limits) {
    this.limits = limits;
    for (int rank = 0; rank < classes.length; rank++) {
      classes[rank] = new ClassQueue();
    }
  }

  int size() {
    return waitingById.size();
  }

  int size(PriorityClass priority) {
    return classes[priority.rank()].size();
  }

  /** Returns the number of calls in the class and all higher classes. */
  int sizeOfClassAndHigher(PriorityClass priority) {
    int size = 0;
    for (int rank = 0; rank <= priority.rank(); rank++) {
      size += classes[rank].size();
    }
    return size;
  }

  boolean contains(CallId id) {
    return waitingById.containsKey(id);
  }

  void add(QueuedCall queued) {
    waitingById.put(queued.call.id(), queued);
    classes[queued.effectivePriority.rank()].add(queued);
  }

  /** Removes and returns a waiting call, or returns null if the call is not queued. */
  QueuedCall remove(CallId id) {
    QueuedCall queued = waitingById.remove(id);
    if (queued != null) {
      classes[queued.effectivePriority.rank()].remove(queued);
    }
    return queued;
  }

  /** Returns the next call of the class that is not deferred in this dispatch, or null. */
  QueuedCall next(PriorityClass priority, long dispatchNumber, long nowMs) {
    return classes[priority.rank()].next(limits.ageingBoundMs(), dispatchNumber, nowMs);
  }

  /**
   * Returns the oldest call of the lower classes that has reached the ageing bound, or null. Such
   * calls get one in {@code escapeInterval} dispatches from unreserved slots.
   */
  QueuedCall nextAgedOfLowerClass(PriorityClass priority, long dispatchNumber, long nowMs) {
    if (dispatchesSinceAgedCall < limits.escapeInterval() - 1) {
      return null;
    }
    QueuedCall oldest = null;
    for (int rank = priority.rank() + 1; rank < classes.length; rank++) {
      QueuedCall aged = classes[rank].oldestAged(limits.ageingBoundMs(), dispatchNumber, nowMs);
      if (aged != null && (oldest == null || QueuedCall.BY_ARRIVAL.compare(aged, oldest) < 0)) {
        oldest = aged;
      }
    }
    return oldest;
  }

  /** Returns the waiting calls of the class, oldest first. */
  Iterable<QueuedCall> waiting(PriorityClass priority) {
    return classes[priority.rank()].byArrival();
  }

  /** Records a grant of an unreserved slot; {@code aged} marks a grant to an aged lower class. */
  void recordDispatch(boolean aged) {
    dispatchesSinceAgedCall = aged ? 0 : dispatchesSinceAgedCall + 1;
  }

  /** Charges service to the team of a call; a negative amount is a refund. */
  void charge(QueuedCall queued, double units) {
    classes[queued.effectivePriority.rank()].charge(
        queued.call.team(), queued.call.teamShare(), units);
  }

  void removeIdleTeams() {
    for (ClassQueue queue : classes) {
      queue.removeIdleTeams();
    }
  }
}
