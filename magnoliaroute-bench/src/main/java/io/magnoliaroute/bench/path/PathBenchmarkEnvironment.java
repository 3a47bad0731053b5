package io.magnoliaroute.bench.path;

import io.magnoliaroute.core.config.ConfigCodec;
import io.magnoliaroute.core.config.ConfigRecord;
import io.magnoliaroute.core.config.ConfigState;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.settings.BranchName;
import io.magnoliaroute.daemon.DaemonMain;
import io.magnoliaroute.daemon.http.Authenticator;
import io.magnoliaroute.daemon.platform.ConfigStreamClient;
import io.magnoliaroute.standin.StandinServer;
import io.magnoliaroute.standin.engine.EngineOptions;
import io.magnoliaroute.standin.engine.StandinEngine;
import io.magnoliaroute.standin.log.StandinLog;
import io.magnoliaroute.standin.log.StandinLogServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Runs two stand-in engines and a stand-in log in this process, and a daemon as a child process.
 */
final class PathBenchmarkEnvironment implements AutoCloseable {

  /** The authentication token of the benchmark team. */
  static final String TEAM_TOKEN = "path-benchmark";

  /** The model of the engine that sends tokens at a fixed interval. */
  static final String PACED_MODEL = "paced";

  /** The model of the engine that sends tokens without delay. */
  static final String FAST_MODEL = "fast";

  private static final int SLOTS = 256;
  private static final long TOKEN_INTERVAL_MS = 5;
  private static final long TIMEOUT_S = 30;

  private final Vertx vertx;
  private final Process daemon;
  private final int daemonPort;
  private final int pacedPort;
  private final Path settingsFile;

  private PathBenchmarkEnvironment(
      Vertx vertx, Process daemon, int daemonPort, int pacedPort, Path settingsFile) {
    this.vertx = vertx;
    this.daemon = daemon;
    this.daemonPort = daemonPort;
    this.pacedPort = pacedPort;
    this.settingsFile = settingsFile;
  }

  static PathBenchmarkEnvironment start(Vertx vertx) throws IOException {
    EngineOptions paced =
        EngineOptions.instant(PACED_MODEL)
            .withTokenIntervalMs(TOKEN_INTERVAL_MS)
            .withResponseTokens(PathLoadGenerator.PACED_RESPONSE_TOKENS)
            .withSlots(SLOTS);
    EngineOptions fast =
        EngineOptions.instant(FAST_MODEL)
            .withResponseTokens(PathLoadGenerator.FAST_RESPONSE_TOKENS)
            .withSlots(SLOTS);
    int pacedPort = await(new StandinEngine(vertx, paced).start()).port();
    int fastPort = await(new StandinEngine(vertx, fast).start()).port();
    StandinLog log = new StandinLog();
    publish(log, "pools/paced", poolYaml(PACED_MODEL, pacedPort));
    publish(log, "pools/fast", poolYaml(FAST_MODEL, fastPort));
    publish(log, "teams/bench", teamYaml());
    StandinServer logServer = await(StandinLogServer.start(vertx, log));
    Path settingsFile = Files.createTempFile("path-benchmark", ".yaml");
    Files.writeString(settingsFile, settingsYaml(logServer.port()));
    Process daemon =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx1g",
                "-cp",
                System.getProperty("java.class.path"),
                DaemonMain.class.getName(),
                "--settings",
                settingsFile.toString())
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    BufferedReader out = daemon.inputReader(StandardCharsets.UTF_8);
    String line = out.readLine();
    if (line == null) {
      throw new IOException("daemon exited before it printed its ports");
    }
    int port = Integer.parseInt(line.split(" ", -1)[1]);
    return new PathBenchmarkEnvironment(vertx, daemon, port, pacedPort, settingsFile);
  }

  Vertx vertx() {
    return vertx;
  }

  int daemonPort() {
    return daemonPort;
  }

  int pacedPort() {
    return pacedPort;
  }

  /** Returns the processor time used by the daemon so far, or zero if it is not available. */
  Duration daemonCpuTime() {
    return daemon.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  @Override
  public void close() throws IOException {
    daemon.destroy();
    try {
      if (!daemon.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
        daemon.destroyForcibly();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Files.deleteIfExists(settingsFile);
  }

  static <T> T await(Future<T> future) {
    try {
      return future.toCompletionStage().toCompletableFuture().get(10 * TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("benchmark operation failed or timed out", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  private static void publish(StandinLog log, String branch, String yaml) {
    ConfigRecord.Published published =
        new ConfigRecord.Published(
            "bench/" + branch,
            new BranchName(branch),
            ConfigState.ABSENT_VERSION,
            Optional.of(yaml),
            "bench",
            0);
    List<Bytes> records = List.of(ConfigCodec.encode(published));
    await(Future.fromCompletionStage(log.append(ConfigStreamClient.STREAM, records)));
  }

  private static String poolYaml(String model, int port) {
    return """
        kind: model
        models: [%s]
        endpoints:
          - id: %s-1
            address: 127.0.0.1:%d
            data_centre: local
            window_slots: %d
        """
        .formatted(model, model, port, SLOTS);
  }

  private static String teamYaml() {
    return """
        token_hashes: [%s]
        budget:
          units_per_period: 1000000000000
          period_ms: 3600000
        """
        .formatted(Authenticator.hashToken(TEAM_TOKEN));
  }

  private static String settingsYaml(int logPort) {
    return """
        vm: bench
        data_centre: local
        region: local
        http_listen: 127.0.0.1:0
        peer_listen: 127.0.0.1:0
        peers: []
        log: 127.0.0.1:%d
        partitions: 32
        peer_secret: path-benchmark-secret
        operator_token_hashes: [%s]
        """
        .formatted(logPort, Authenticator.hashToken("operator"));
  }
}
