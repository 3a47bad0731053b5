package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.admission.AdmissionRequest;
import io.magnoliaroute.core.gateway.admission.ServiceAdmission;
import io.magnoliaroute.core.gateway.admission.WaitingRequests;
import io.magnoliaroute.core.gateway.admission.WaitingRequests.Entry;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Set;

/**
 * Resumes requests that wait for a place at an endpoint, in the order in which they are served:
 * when a request of this VM to the service ends, and at an interval, because requests of other VMs
 * end as well. Confined to one event loop.
 */
final class DispatchQueue {

  /** Interval at which waiting requests are resumed without an event. */
  static final long INTERVAL_MS = 20;

  private final Vertx vertx;
  private final InstantSource clock;
  private final ServiceAdmission admission;
  private final GatewayMetrics metrics;
  private final WaitingRequests<Runnable> waiting = new WaitingRequests<>();
  private final Set<String> freedServices = new HashSet<>();
  private boolean timerSet;

  DispatchQueue(
      Vertx vertx, InstantSource clock, ServiceAdmission admission, GatewayMetrics metrics) {
    this.vertx = vertx;
    this.clock = clock;
    this.admission = admission;
    this.metrics = metrics;
  }

  /**
   * Runs the action when a place may have become free and no request that goes first waits for it.
   * The request leaves the queue before; it may enter again.
   *
   * @param waitUntilMs the time at which the action runs at the latest
   */
  Entry<Runnable> await(AdmissionRequest request, long waitUntilMs, Runnable action) {
    metrics.count("requests_waited");
    Entry<Runnable> entry = waiting.add(request, waitUntilMs, action);
    setTimer();
    return entry;
  }

  /** Removes a request that no longer waits, for example because its client has left. */
  void remove(Entry<Runnable> entry) {
    waiting.remove(entry);
  }

  /** Resumes a request that waits for the service, because one has ended there. */
  void onPlaceFreed(String service) {
    if (waiting.size() == 0 || !freedServices.add(service)) {
      return;
    }
    // Deferred, so that the ended request has been processed completely.
    vertx.runOnContext(
        run -> {
          freedServices.remove(service);
          resume(service);
        });
  }

  /** Returns the number of waiting requests. */
  int size() {
    return waiting.size();
  }

  private void setTimer() {
    if (timerSet) {
      return;
    }
    timerSet = true;
    vertx.setTimer(INTERVAL_MS, fired -> resumeAll());
  }

  private void resumeAll() {
    timerSet = false;
    waiting.services().forEach(this::resume);
    if (waiting.size() > 0) {
      setTimer();
    }
  }

  // Requests that are past their limit end in their action whether or not a place is free.
  private void resume(String service) {
    int places = admission.dispatchLimit(service, clock.millis());
    for (Entry<Runnable> entry : waiting.inOrder(service)) {
      if (places <= 0 && !entry.isDue(clock.millis())) {
        continue;
      }
      places--;
      waiting.remove(entry);
      entry.resumption().run();
    }
  }
}
