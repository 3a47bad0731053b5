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
import io.magnoliaroute.daemon.platform.ConfigFollower;
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

/** Stand-ins on loopback and daemons in this JVM that use them. */
public final class TestWorld implements AutoCloseable {

  /** The model of the engines. */
  public static final String MODEL = "test-model";

  /** The token of the team "shop". */
  public static final String TOKEN = "token-of-the-shop";

  /** The token of the team "rival". */
  public static final String RIVAL_TOKEN = "token-of-the-rival";

  /** The token of the operators. */
  public static final String OPERATOR_TOKEN = "token-of-the-operators";

  /** Tokens of each answer. */
  public static final int ANSWER_TOKENS = 8;

  /** The secret of the peers. */
  public static final String SECRET = "a-secret-for-tests-only";

  /** The number of partitions. */
  public static final int PARTITIONS = 4;

  private final Vertx vertx = Vertx.vertx();
  private final StandinLog log = new StandinLog();
  private final List<StandinEngine> engines = new ArrayList<>();
  private final StandinService service;
  private final List<Daemon> daemons = new ArrayList<>();
  private final HostPort logAddress;

  /** Starts the stand-ins and publishes settings for them. */
  public TestWorld(EngineOptions options, int engineCount, boolean checksFencingToken) {
    service = new StandinService(vertx, checksFencingToken);
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < engineCount; i++) {
      StandinEngine engine = new StandinEngine(vertx, options);
      engines.add(engine);
      ports.add(Await.result(engine.start()).port());
    }
    StandinServer served = Await.result(service.start());
    StandinServer logServer = Await.result(StandinLogServer.start(vertx, log));
    logAddress = new HostPort(logServer.host(), logServer.port());
    publish(branches(ports, served.port(), checksFencingToken, options.slots()));
  }

  /** Starts a world with two fast engines and a service that checks fencing tokens. */
  public static TestWorld fast() {
    return new TestWorld(EngineOptions.instant(MODEL).withAnswerTokens(ANSWER_TOKENS), 2, true);
  }

  /** Returns the event loops of the stand-ins and daemons. */
  public Vertx vertx() {
    return vertx;
  }

  /** Returns the log. */
  public StandinLog log() {
    return log;
  }

  /** Returns an engine. */
  public StandinEngine engine(int index) {
    return engines.get(index);
  }

  /** Returns the service. */
  public StandinService service() {
    return service;
  }

  /** Returns the address of the log's server. */
  public HostPort logAddress() {
    return logAddress;
  }

  /** Starts a daemon that knows the earlier ones and waits until it is ready. */
  public Daemon startDaemon(String vm) {
    Daemon daemon = startUnready(vm);
    Await.until(vm + " is ready", () -> daemon.readiness().phase() == Readiness.Phase.READY);
    return daemon;
  }

  /** Starts a daemon that may have no settings yet. */
  public Daemon startUnready(String vm) {
    List<ProcessSettings.Peer> peers = new ArrayList<>();
    for (Daemon each : daemons) {
      peers.add(
          new ProcessSettings.Peer(
              each.vm(), new DataCentreId("natal"), new HostPort("127.0.0.1", each.peerPort())));
    }
    Daemon daemon =
        new Daemon(
            vertx,
            process(vm, peers),
            new HttpLogClient(vertx, logAddress),
            new SteadyClock(InstantSource.system(), System::nanoTime),
            () -> {});
    Await.result(daemon.start(1));
    daemons.add(daemon);
    return daemon;
  }

  /** Waits until each daemon holds all of them for alive. */
  public void awaitMembership() {
    Await.until(
        "all daemons see each other",
        () ->
            daemons.stream()
                .allMatch(each -> each.peers().view().owners().size() == daemons.size()));
  }

  /** Returns a caller of the daemon from the team "shop". */
  public static Caller caller(Daemon daemon) {
    return new Caller(daemon.httpPort(), TOKEN);
  }

  /** Returns an operator at the daemon. */
  public static Caller operator(Daemon daemon) {
    return new Caller(daemon.httpPort(), OPERATOR_TOKEN);
  }

  @Override
  public void close() {
    Await.result(vertx.close());
  }

  private ProcessSettings process(String vm, List<ProcessSettings.Peer> peers) {
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
        new ProcessSettings.PeerSecret(Optional.of(SECRET), Optional.empty()),
        List.of(Authenticator.hash(OPERATOR_TOKEN)),
        Optional.empty());
  }

  private void publish(Map<String, String> branches) {
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
    log.append(ConfigFollower.STREAM, records);
  }

  private static Map<String, String> branches(
      List<Integer> engines, int service, boolean checksFencingToken, int slots) {
    StringBuilder pool = new StringBuilder("kind: model\nmodels: [" + MODEL + "]\nendpoints:\n");
    for (int i = 0; i < engines.size(); i++) {
      pool.append("  - id: engine-").append(i).append('\n');
      pool.append("    address: 127.0.0.1:").append(engines.get(i)).append('\n');
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
            .formatted(service, checksFencingToken));
    branches.put("teams/shop", team(TOKEN));
    branches.put("teams/rival", team(RIVAL_TOKEN));
    return branches;
  }

  private static String team(String token) {
    return """
        token_hashes: [%s]
        budget:
          units_per_period: 100000000
          period_ms: 3600000
        tool_rules:
          - service: orders
            operations: [capture_payment, show_stock]
        """
        .formatted(Authenticator.hash(token));
  }
}
