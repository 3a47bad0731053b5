package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.gateway.ServiceTimeAverages;
import io.magnoliaroute.core.gateway.admission.AdmissionRequest;
import io.magnoliaroute.core.gateway.admission.ServiceAdmission;
import io.magnoliaroute.core.gateway.admission.ServiceOccupancy.Occupancy;
import io.magnoliaroute.core.gateway.admission.WaitingRequests.Entry;
import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.Vertx;
import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against places that go to a request because it asked at the right moment, while one that
 * goes first is waiting, and against requests that run after their client has left.
 */
@DisplayName("The dispatch queue")
class DispatchQueueTest {

  private final Vertx vertx = TestRuntime.singleLoopVertx();
  private final AtomicLong nowMs = new AtomicLong(1_000);
  private final List<String> resumed = new CopyOnWriteArrayList<>();
  private final DispatchQueue queue =
      new DispatchQueue(
          vertx,
          () -> Instant.ofEpochMilli(nowMs.get()),
          new ServiceAdmission(
              (service, atMs) -> new Occupancy(8, 4, 8, 4, 4), new ServiceTimeAverages()),
          new GatewayMetrics());

  @AfterEach
  void close() {
    Await.result(vertx.close());
  }

  private Entry<Runnable> await(String name, boolean isNew) {
    AdmissionRequest request =
        new AdmissionRequest(
            "s", "r", "", 0, isNew, 200, 5, nowMs.get(), 9_000, OptionalLong.empty(), 1, 0);
    return queue.await(request, 9_000, () -> resumed.add(name));
  }

  @Test
  @DisplayName("gives the place of a request that has ended to a started program")
  void startedFirst() {
    Await.result(
        TestRuntime.callOnContext(
            vertx,
            () -> {
              await("new", true);
              await("started", false);
              queue.onPlaceFreed("s");
              return true;
            }));

    Await.until("one request is resumed", () -> !resumed.isEmpty());
    assertEquals("started", resumed.get(0));
    Await.until("the other one is resumed later", () -> resumed.size() == 2);
  }

  @Test
  @DisplayName("never resumes a request that was removed")
  void removed() {
    Await.result(
        TestRuntime.callOnContext(
            vertx,
            () -> {
              queue.remove(await("left", false));
              await("waits", true);
              return true;
            }));

    Await.until("the other request is resumed", () -> !resumed.isEmpty());
    assertEquals(List.of("waits"), resumed);
    assertEquals(0, queue.size());
  }
}
