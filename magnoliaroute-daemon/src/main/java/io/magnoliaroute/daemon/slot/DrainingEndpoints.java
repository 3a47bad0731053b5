package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.model.EndpointId;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** The endpoints that operators drain through records of the {@code control} stream. */
public final class DrainingEndpoints {

  private final Set<EndpointId> requestedDrains = ConcurrentHashMap.newKeySet();
  private final Set<EndpointId> appliedDrains = ConcurrentHashMap.newKeySet();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

  /** Starts or ends draining of an endpoint and notifies the listeners of a change. */
  public void setDraining(EndpointId endpoint, boolean nowDraining) {
    boolean changed =
        nowDraining ? requestedDrains.add(endpoint) : requestedDrains.remove(endpoint);
    if (changed) {
      listeners.forEach(Runnable::run);
    }
    if (nowDraining) {
      appliedDrains.add(endpoint);
    } else {
      appliedDrains.remove(endpoint);
    }
  }

  /**
   * Returns whether the schedulers of this VM have applied the drain. This is the state shown to
   * operators, so an endpoint that is shown as draining gets no new grants from this VM.
   */
  public boolean isDrainApplied(EndpointId endpoint) {
    return appliedDrains.contains(endpoint);
  }

  /** Returns whether an operator has requested the drain, which may not have been applied yet. */
  boolean isDraining(EndpointId endpoint) {
    return requestedDrains.contains(endpoint);
  }

  void addListener(Runnable listener) {
    listeners.add(listener);
  }
}
