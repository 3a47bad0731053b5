package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.model.EndpointId;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** The endpoints that operators drain by records of the {@code control} stream. */
public final class DrainingEndpoints {

  private final Set<EndpointId> draining = ConcurrentHashMap.newKeySet();
  private final Set<EndpointId> inForce = ConcurrentHashMap.newKeySet();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

  /** Starts or ends the drain of an endpoint. */
  public void set(EndpointId endpoint, boolean nowDraining) {
    boolean changed = nowDraining ? draining.add(endpoint) : draining.remove(endpoint);
    if (changed) {
      listeners.forEach(Runnable::run);
    }
    if (nowDraining) {
      inForce.add(endpoint);
    } else {
      inForce.remove(endpoint);
    }
  }

  /**
   * Returns whether the schedulers of this VM have taken the drain. Operators are shown this, so
   * that an endpoint which is shown as draining gets no new grants from this VM.
   */
  public boolean isInForce(EndpointId endpoint) {
    return inForce.contains(endpoint);
  }

  /** Returns whether an operator drains the endpoint. */
  boolean isDraining(EndpointId endpoint) {
    return draining.contains(endpoint);
  }

  void listen(Runnable listener) {
    listeners.add(listener);
  }
}
