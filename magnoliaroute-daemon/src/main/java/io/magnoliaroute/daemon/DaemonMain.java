package io.magnoliaroute.daemon;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.core.settings.ParseResult;
import io.magnoliaroute.core.settings.ProcessSettings;
import io.magnoliaroute.core.settings.ProcessSettingsParser;
import io.magnoliaroute.daemon.gateway.PlatformMain;
import io.magnoliaroute.daemon.lifecycle.SteadyClock;
import io.magnoliaroute.daemon.lifecycle.StopReport;
import io.magnoliaroute.daemon.platform.HttpLogClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jboss.logging.Logger;

/** The entry point of the daemon process. */
public final class DaemonMain {

  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FINDINGS = 3;
  private static final long SHUTDOWN_MARGIN_MS = 5_000;

  private DaemonMain() {}

  /** Parses the arguments and starts the daemon in the selected mode. */
  public static void main(String[] args) {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty(
        "vertx.logger-delegate-factory-class-name",
        "io.vertx.core.logging.SLF4JLogDelegateFactory");
    System.setProperty("vertx.disableFileCPResolving", "true");
    try {
      DaemonCommand command = SingleCommand.singleCommand(DaemonCommand.class).parse(args);
      if (command.help != null && command.help.showHelpIfRequested()) {
        return;
      }
      run(command);
    } catch (ParseException e) {
      exitWithUsage(e.getMessage());
    }
  }

  private static void run(DaemonCommand command) {
    if (command.platform) {
      if (command.standalone || command.settingsFile != null) {
        exitWithUsage("--platform cannot be combined with --settings or --standalone");
        return;
      }
      System.setProperty("logback.configurationFile", "logback-platform.xml");
      PlatformMain.run();
      return;
    }
    if (command.standalone == (command.settingsFile != null)) {
      exitWithUsage("specify either --settings FILE or --standalone");
      return;
    }
    int eventLoops = Runtime.getRuntime().availableProcessors();
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(eventLoops));
    InstantSource clock = new SteadyClock(InstantSource.system(), System::nanoTime);
    Logger log = Logger.getLogger(DaemonMain.class);
    if (command.standalone) {
      log.warn("standalone mode persists no data: programs, history and settings are lost on exit");
    }
    Future<Daemon> created =
        command.standalone
            ? createStandalone(vertx, clock, command.http)
            : createFromSettings(vertx, clock, command.settingsFile);
    created
        .compose(daemon -> daemon.start(eventLoops).map(daemon))
        .onSuccess(daemon -> onStarted(daemon, log))
        .onFailure(
            failure -> {
              log.error("daemon failed to start", failure);
              System.exit(EXIT_FAILED);
            });
  }

  private static Future<Daemon> createStandalone(Vertx vertx, InstantSource clock, String http) {
    int colon = http.lastIndexOf(':');
    HostPort address =
        new HostPort(http.substring(0, colon), Integer.parseInt(http.substring(colon + 1)));
    return StandaloneEnvironment.start(vertx, clock)
        .map(
            standalone ->
                new Daemon(
                    vertx,
                    StandaloneEnvironment.processSettings(address),
                    standalone.log(),
                    clock,
                    DaemonMain::requestShutdown));
  }

  private static Future<Daemon> createFromSettings(Vertx vertx, InstantSource clock, String file) {
    ProcessSettings settings = readSettings(file);
    return Future.succeededFuture(
        new Daemon(
            vertx,
            settings,
            new HttpLogClient(vertx, settings.log()),
            clock,
            DaemonMain::requestShutdown));
  }

  private static ProcessSettings readSettings(String file) {
    try {
      ParseResult<ProcessSettings> result =
          ProcessSettingsParser.parse(file, Files.readString(Path.of(file)));
      result.findings().forEach(finding -> System.err.println(finding));
      if (result.value().isEmpty()) {
        System.exit(EXIT_FINDINGS);
      }
      return withLoadedSecret(result.value().orElseThrow());
    } catch (IOException e) {
      System.err.println("cannot read " + file + ": " + e.getMessage());
      System.exit(EXIT_USAGE);
      throw new IllegalStateException("unreachable", e);
    }
  }

  private static ProcessSettings withLoadedSecret(ProcessSettings settings) throws IOException {
    if (settings.peerSecret().file().isEmpty()) {
      return settings;
    }
    String secret = Files.readString(Path.of(settings.peerSecret().file().get())).strip();
    return new ProcessSettings(
        settings.vm(),
        settings.dataCentre(),
        settings.region(),
        settings.httpListen(),
        settings.peerListen(),
        settings.peers(),
        settings.vmList(),
        settings.log(),
        settings.partitions(),
        new ProcessSettings.PeerSecret(Optional.of(secret), Optional.empty()),
        settings.operatorTokenHashes(),
        settings.tls());
  }

  private static void onStarted(Daemon daemon, Logger log) {
    log.infof("listening for HTTP requests on port %d", daemon.httpPort());
    System.out.println("http_port " + daemon.httpPort() + " peer_port " + daemon.peerPort());
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "stop"));
  }

  /** Runs the graceful shutdown within the JVM's shutdown hook and sets the exit code. */
  private static void shutDown(Daemon daemon) {
    CompletableFuture<StopReport> report = new CompletableFuture<>();
    daemon.stop().onSuccess(report::complete).onFailure(report::completeExceptionally);
    int code = StopReport.EXIT_INCOMPLETE;
    try {
      code =
          report
              .get(daemon.drainTimeoutMs() + SHUTDOWN_MARGIN_MS, TimeUnit.MILLISECONDS)
              .exitCode();
    } catch (ExecutionException | TimeoutException e) {
      Logger.getLogger(DaemonMain.class).error("graceful shutdown failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().halt(code);
  }

  /** Starts a graceful shutdown after the platform has marked this VM as leaving. */
  private static void requestShutdown() {
    new Thread(() -> System.exit(StopReport.EXIT_OK), "leave").start();
  }

  private static void exitWithUsage(String problem) {
    System.err.println(problem);
    System.err.println("usage: magnoliaroute-daemon --settings FILE | --standalone | --platform");
    System.exit(EXIT_USAGE);
  }
}
