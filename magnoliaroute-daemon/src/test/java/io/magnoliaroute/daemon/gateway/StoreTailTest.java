package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.lifecycle.SteadyClock;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.standin.users.StandinStore;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against a tail that stops permanently, so that the VM receives no further changes. */
@DisplayName("A store tail")
class StoreTailTest {

  private static final String TOPIC = "keyed.op";

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void stop() {
    Await.result(vertx.close());
  }

  @Test
  @DisplayName("continues after its listener throws on a record")
  void listenerFails() {
    StandinStore store = new StandinStore(vertx);
    int port = Await.result(store.start());
    InstantSource clock = new SteadyClock(InstantSource.system(), System::nanoTime);
    AtomicBoolean listed = new AtomicBoolean();
    AtomicInteger pages = new AtomicInteger();
    vertx.runOnContext(
        run -> {
          StoreHealth health = new StoreHealth(clock, new DecisionLog("vm-1", clock));
          StoreClient client =
              new StoreClient(vertx, new HostPort("127.0.0.1", port), (kind, outcome) -> {});
          StoreTail.Listener listener =
              new StoreTail.Listener() {
                @Override
                public void onListing(StoreClient.Listing listing) {
                  listed.set(true);
                  throw new IllegalStateException("simulated listener failure");
                }

                @Override
                public void onRecords(StoreClient.Page page) {
                  pages.incrementAndGet();
                  throw new IllegalStateException("simulated listener failure");
                }
              };
          new StoreTail(
                  vertx,
                  client,
                  health,
                  new SplittableRandom(1),
                  TOPIC,
                  new StoreTail.PollTiming(200, 0),
                  listener)
              .start();
        });

    Await.until("the topic is listed", listed::get);
    for (int i = 1; i <= 3; i++) {
      int expected = i;
      store.put(TOPIC, "config", "v" + i);
      Await.until("page " + i + " is read", () -> pages.get() >= expected);
    }
  }
}
