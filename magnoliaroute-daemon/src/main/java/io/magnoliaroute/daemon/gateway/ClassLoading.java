package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.lifecycle.SteadyClock;
import io.magnoliaroute.platform.BootSettings;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Runs a VM on loopback for a moment, without a store, so that the Java runtime can archive the
 * classes that serving loads. A start from the archive takes half the time.
 */
final class ClassLoading {

  private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
  private static final HostPort NO_STORE = new HostPort("127.0.0.1", 1);
  private static final long RUN_MS = 1_500;
  private static final int STOP_LIMIT_MS = 100;

  private ClassLoading() {}

  /** Starts the VM and ends the process after a moment. */
  static void run(Vertx vertx) {
    BootSettings settings =
        new BootSettings(
            new VmId("class-loading"),
            "none",
            ANY_PORT,
            ANY_PORT,
            Optional.of(ANY_PORT),
            List.of(),
            NO_STORE,
            1,
            false,
            STOP_LIMIT_MS);
    InstantSource clock = new SteadyClock(InstantSource.system(), System::nanoTime);
    vertx.runOnContext(
        run -> {
          GatewayNode node =
              new GatewayNode(
                  vertx, settings, () -> settings, clock, new SplittableRandom(STOP_LIMIT_MS));
          node.start().onSuccess(started -> call(vertx, node.clientPort()));
          vertx.setTimer(RUN_MS, fired -> System.exit(0));
        });
  }

  private static void call(Vertx vertx, int port) {
    vertx
        .createHttpClient()
        .request(HttpMethod.POST, port, "127.0.0.1", "/")
        .compose(request -> request.send("x"))
        .onFailure(e -> System.err.println("the call failed: " + e.getMessage()));
  }
}
