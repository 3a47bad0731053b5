package io.magnoliaroute.daemon.support;

import io.magnoliaroute.core.config.ConfigCodec;
import io.magnoliaroute.core.config.ConfigRecord;
import io.magnoliaroute.core.config.ConfigState;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.BranchName;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.core.settings.ProcessSettings;
import io.magnoliaroute.daemon.Daemon;
import io.magnoliaroute.daemon.http.Authenticator;
import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.lifecycle.SteadyClock;
import io.magnoliaroute.daemon.platform.ConfigStreamClient;
import io.magnoliaroute.daemon.platform.HttpLogClient;
import io.magnoliaroute.standin.StandinServer;
import io.magnoliaroute.standin.engine.EngineOptions;
import io.magnoliaroute.standin.engine.StandinEngine;
import io.magnoliaroute.standin.log.StandinLog;
import io.magnoliaroute.standin.log.StandinLogServer;
import io.magnoliaroute.standin.service.StandinService;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Test environment with stand-ins on loopback and the daemons of this JVM that use them. */
public final class DaemonTestEnvironment implements AutoCloseable {

  /** The model that the engines serve. */
  public static final String MODEL = "test-model";

  /** The bearer token of the team "shop". */
  public static final String SHOP_TOKEN = "token-of-the-shop";

  /** The bearer token of the team "rival", which must not access the programs of "shop". */
  public static final String RIVAL_TOKEN = "token-of-the-rival";

  /** The bearer token of operators. */
  public static final String OPERATOR_TOKEN = "token-of-the-operators";

  /** The number of tokens in each completion. */
  public static final int COMPLETION_TOKENS = 8;

  /** The shared secret with which peers authenticate. */
  public static final String PEER_SECRET = "a-secret-for-tests-only";

  /** The number of program partitions. */
  public static final int PARTITIONS = 4;

  private final Vertx vertx = Vertx.vertx();
  private final StandinLog log = new StandinLog();
  private final List<StandinEngine> engines = new ArrayList<>();
  private final StandinService service;
  private final List<Daemon> daemons = new ArrayList<>();
  private final HostPort logAddress;

  /** Starts the stand-ins and publishes their configuration to the log. */
  public DaemonTestEnvironment(EngineOptions options, int engineCount, boolean checksFencingToken) {
    service = new StandinService(vertx, checksFencingToken);
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < engineCount; i++) {
      StandinEngine engine = new StandinEngine(vertx, options);
      engines.add(engine);
      ports.add(Await.result(engine.start()).port());
    }
    StandinServer serviceServer = Await.result(service.start());
    StandinServer logServer = Await.result(StandinLogServer.start(vertx, log));
    logAddress = new HostPort(logServer.host(), logServer.port());
    appendConfiguration(
        configBranches(ports, serviceServer.port(), checksFencingToken, options.slots()));
  }

  /** Returns an environment with two fast engines and a service that checks fencing tokens. */
  public static DaemonTestEnvironment withFastEngines() {
    return new DaemonTestEnvironment(
        EngineOptions.instant(MODEL).withResponseTokens(COMPLETION_TOKENS), 2, true);
  }

  /** Returns the Vert.x instance that the stand-ins and daemons share. */
  public Vertx vertx() {
    return vertx;
  }

  /** Returns the stand-in for the platform's log. */
  public StandinLog log() {
    return log;
  }

  /** Returns the engine with the given index, from 0. */
  public StandinEngine engine(int index) {
    return engines.get(index);
  }

  /** Returns the stand-in for the orders service. */
  public StandinService service() {
    return service;
  }

  /** Returns the address of the log's server. */
  public HostPort logAddress() {
    return logAddress;
  }

  /** Starts a daemon with the earlier ones as its peers, and waits until it is ready. */
  public Daemon startDaemon(String vm) {
    Daemon daemon = startWithoutAwaitingReadiness(vm);
    Await.until(vm + " is ready", () -> daemon.readiness().phase() == Readiness.Phase.READY);
    return daemon;
  }

  /** Starts a daemon with the earlier ones as its peers; it may not be configured yet. */
  public Daemon startWithoutAwaitingReadiness(String vm) {
    List<ProcessSettings.Peer> peers = new ArrayList<>();
    for (Daemon each : daemons) {
      peers.add(
          new ProcessSettings.Peer(
              each.vm(), new DataCentreId("natal"), new HostPort("127.0.0.1", each.peerPort())));
    }
    Daemon daemon =
        new Daemon(
            vertx,
            processSettings(vm, peers),
            new HttpLogClient(vertx, logAddress),
            new SteadyClock(InstantSource.system(), System::nanoTime),
            () -> {});
    Await.result(daemon.start(1));
    daemons.add(daemon);
    return daemon;
  }

  /** Waits until each daemon considers all daemons alive. */
  public void awaitMembership() {
    Await.until(
        "all daemons consider each other alive",
        () ->
            daemons.stream()
                .allMatch(each -> each.peers().view().owners().size() == daemons.size()));
  }

  /** Returns a client of the team "shop" for the daemon. */
  public static DaemonClient shopClient(Daemon daemon) {
    return new DaemonClient(daemon.httpPort(), SHOP_TOKEN);
  }

  /** Returns an operator's client for the daemon. */
  public static DaemonClient operatorClient(Daemon daemon) {
    return new DaemonClient(daemon.httpPort(), OPERATOR_TOKEN);
  }

  @Override
  public void close() {
    Await.result(vertx.close());
  }

  private ProcessSettings processSettings(String vm, List<ProcessSettings.Peer> peers) {
    return new ProcessSettings(
        new VmId(vm),
        new DataCentreId("natal"),
        new RegionId("north"),
        new HostPort("127.0.0.1", 0),
        new HostPort("127.0.0.1", 0),
        peers,
        Optional.empty(),
        logAddress,
        PARTITIONS,
        new ProcessSettings.PeerSecret(Optional.of(PEER_SECRET), Optional.empty()),
        List.of(Authenticator.hashToken(OPERATOR_TOKEN)),
        Optional.empty());
  }

  private void appendConfiguration(Map<String, String> branches) {
    List<Bytes> records = new ArrayList<>();
    branches.forEach(
        (name, yaml) ->
            records.add(
                ConfigCodec.encode(
                    new ConfigRecord.Published(
                        "test/" + name,
                        new BranchName(name),
                        ConfigState.ABSENT_VERSION,
                        Optional.of(yaml),
                        "test",
                        0))));
    log.append(ConfigStreamClient.STREAM, records);
  }

  private static Map<String, String> configBranches(
      List<Integer> enginePorts, int servicePort, boolean checksFencingToken, int slots) {
    StringBuilder pool = new StringBuilder("kind: model\nmodels: [" + MODEL + "]\nendpoints:\n");
    for (int i = 0; i < enginePorts.size(); i++) {
      pool.append("  - id: engine-").append(i).append('\n');
      pool.append("    address: 127.0.0.1:").append(enginePorts.get(i)).append('\n');
      pool.append("    data_centre: natal\n    window_slots: ").append(slots).append('\n');
    }
    Map<String, String> branches = new LinkedHashMap<>();
    branches.put("pools/engines", pool.toString());
    branches.put(
        "pools/orders",
        """
        kind: service
        non_idempotent_operations: [capture_payment]
        status_query: true
        endpoints:
          - id: orders-1
            address: 127.0.0.1:%d
            data_centre: natal
            window_slots: 64
            checks_fencing_token: %s
        """
            .formatted(servicePort, checksFencingToken));
    branches.put("teams/shop", teamYaml(SHOP_TOKEN));
    branches.put("teams/rival", teamYaml(RIVAL_TOKEN));
    return branches;
  }

  private static String teamYaml(String token) {
    return """
        token_hashes: [%s]
        budget:
          units_per_period: 100000000
          period_ms: 3600000
        tool_rules:
          - service: orders
            operations: [capture_payment, show_stock]
        """
        .formatted(Authenticator.hashToken(token));
  }
}
