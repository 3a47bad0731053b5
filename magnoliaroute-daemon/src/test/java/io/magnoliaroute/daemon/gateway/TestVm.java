package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.quota.QuotaBounds;
import io.magnoliaroute.core.gateway.workspace.KeyRevocation;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.lifecycle.SteadyClock;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.platform.BootSettings;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** The settings with which a test starts a VM in its own process. */
final class TestVm {

  private static final HostPort EPHEMERAL_PORT = new HostPort("127.0.0.1", 0);
  private static final SplittableRandom RANDOM = new SplittableRandom(7);
  private static final long GRACE_PERIOD_MS = 8_000;

  private final String name;
  private final String dataCentre;
  private final int storePort;
  private final List<HostPort> seeds;
  private final boolean firstStart;
  private final long gracePeriodMs;

  /** Creates the settings of a VM that takes part in the first start of the system. */
  TestVm(String name, String dataCentre, int storePort, List<HostPort> seeds) {
    this(name, dataCentre, storePort, seeds, true, GRACE_PERIOD_MS);
  }

  private TestVm(
      String name,
      String dataCentre,
      int storePort,
      List<HostPort> seeds,
      boolean firstStart,
      long gracePeriodMs) {
    this.name = name;
    this.dataCentre = dataCentre;
    this.storePort = storePort;
    this.seeds = List.copyOf(seeds);
    this.firstStart = firstStart;
    this.gracePeriodMs = gracePeriodMs;
  }

  /** Returns the settings of a VM that starts after the system has run. */
  TestVm asRestart() {
    return new TestVm(name, dataCentre, storePort, seeds, false, gracePeriodMs);
  }

  TestVm withGracePeriod(long newGracePeriodMs) {
    return new TestVm(name, dataCentre, storePort, seeds, firstStart, newGracePeriodMs);
  }

  /** Starts the VM; returns once it listens. */
  GatewayNode start(Vertx runtime) {
    BootSettings settings =
        new BootSettings(
            new VmId(name),
            dataCentre,
            EPHEMERAL_PORT,
            EPHEMERAL_PORT,
            Optional.of(new HostPort("127.0.0.1", TestRuntime.freePort())),
            seeds,
            new HostPort("127.0.0.1", storePort),
            2,
            800,
            firstStart,
            gracePeriodMs,
            2_000,
            2_000,
            4_100,
            KeyRevocation.DEFAULT,
            QuotaBounds.DEFAULT,
            1);
    InstantSource clock = new SteadyClock(InstantSource.system(), System::nanoTime);
    GatewayNode node =
        Await.result(
            TestRuntime.callOnContext(
                runtime,
                () -> new GatewayNode(runtime, settings, () -> settings, clock, RANDOM.split())));
    Await.result(TestRuntime.callOnContext(runtime, node::start).compose(started -> started));
    return node;
  }
}
