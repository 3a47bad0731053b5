package io.magnoliaroute.daemon;

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
import io.magnoliaroute.daemon.http.Authenticator;
import io.magnoliaroute.daemon.platform.ConfigStreamClient;
import io.magnoliaroute.standin.StandinServer;
import io.magnoliaroute.standin.engine.EngineOptions;
import io.magnoliaroute.standin.engine.StandinEngine;
import io.magnoliaroute.standin.log.StandinLog;
import io.magnoliaroute.standin.platform.StandinWeightStore;
import io.magnoliaroute.standin.service.StandinService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The built-in dependencies of a standalone daemon: log, engine, service and weight store in the
 * same process, and the settings that refer to them.
 */
public final class StandaloneEnvironment {

  /** The access token of the built-in team. */
  public static final String TEAM_TOKEN = "standalone-team";

  /** The access token of the built-in operator. */
  public static final String OPERATOR_TOKEN = "standalone-operator";

  /** The model that the built-in engine serves. */
  public static final String MODEL = "desk-chat";

  private static final int PARTITION_COUNT = 8;
  private static final long WEIGHT_STORE_INTERVAL_MS = 1_000;
  private static final EngineOptions ENGINE_OPTIONS =
      EngineOptions.instant(MODEL).withTokenIntervalMs(5).withResponseTokens(24);

  private final StandinLog log = new StandinLog();
  private final StandinEngine engine;
  private final StandinService service;

  private StandaloneEnvironment(Vertx vertx) {
    engine = new StandinEngine(vertx, ENGINE_OPTIONS);
    service = new StandinService(vertx, true);
  }

  /** Starts the built-in servers and publishes the settings that refer to them. */
  public static Future<StandaloneEnvironment> start(Vertx vertx, InstantSource clock) {
    StandaloneEnvironment standalone = new StandaloneEnvironment(vertx);
    return new StandinWeightStore(clock, WEIGHT_STORE_INTERVAL_MS)
        .start(vertx)
        .compose(store -> standalone.engine.start())
        .compose(
            engine ->
                standalone
                    .service
                    .start()
                    .compose(
                        service -> standalone.publish(builtInBranches(engine, service), clock)))
        .map(published -> standalone);
  }

  /** Returns the built-in log. */
  public StandinLog log() {
    return log;
  }

  /** Returns the process settings of a daemon that serves callers at the address. */
  public static ProcessSettings processSettings(HostPort httpListen) {
    return new ProcessSettings(
        new VmId("standalone"),
        new DataCentreId("local"),
        new RegionId("local"),
        httpListen,
        new HostPort("127.0.0.1", 0),
        List.of(),
        Optional.empty(),
        new HostPort("127.0.0.1", 0),
        PARTITION_COUNT,
        new ProcessSettings.PeerSecret(Optional.of("standalone-has-no-peers"), Optional.empty()),
        List.of(Authenticator.hashToken(OPERATOR_TOKEN)),
        Optional.empty());
  }

  private Future<Void> publish(Map<String, String> branches, InstantSource clock) {
    List<Bytes> records =
        branches.entrySet().stream()
            .map(
                branch ->
                    ConfigCodec.encode(
                        new ConfigRecord.Published(
                            "standalone/" + branch.getKey(),
                            new BranchName(branch.getKey()),
                            ConfigState.ABSENT_VERSION,
                            Optional.of(branch.getValue()),
                            "standalone",
                            clock.millis())))
            .toList();
    return Future.fromCompletionStage(log.append(ConfigStreamClient.STREAM, records)).mapEmpty();
  }

  /** Returns the branches ordered by name, so that pools precede the team that refers to them. */
  private static Map<String, String> builtInBranches(StandinServer engine, StandinServer service) {
    Map<String, String> branches = new TreeMap<>();
    branches.put(
        "pools/engines",
        """
        kind: model
        models: [%s]
        endpoints:
          - id: engine-1
            address: 127.0.0.1:%d
            data_centre: local
            window_slots: 16
            urgent_reserved_slots: 2
        """
            .formatted(MODEL, engine.port()));
    branches.put(
        "pools/orders",
        """
        kind: service
        non_idempotent_operations: [capture_payment, book_dispatch]
        status_query: true
        endpoints:
          - id: orders-1
            address: 127.0.0.1:%d
            data_centre: local
            window_slots: 16
            checks_fencing_token: true
        """
            .formatted(service.port()));
    branches.put(
        "teams/local",
        """
        token_hashes: [%s]
        budget:
          units_per_period: 100000000
          period_ms: 3600000
        urgent_ration:
          calls_per_minute: 60
          burst_calls: 20
        tool_rules:
          - service: orders
            operations: [capture_payment, book_dispatch, track_stock]
        """
            .formatted(Authenticator.hashToken(TEAM_TOKEN)));
    return branches;
  }
}
