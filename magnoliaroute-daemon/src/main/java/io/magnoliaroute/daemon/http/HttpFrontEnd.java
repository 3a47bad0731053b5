package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.platform.ConfigStreamClient;
import io.magnoliaroute.daemon.program.ControlLog;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.RequestHandler;
import io.magnoliaroute.daemon.settings.ActiveSettings;
import io.magnoliaroute.daemon.slot.DrainingEndpoints;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * The HTTP servers for callers and operators. There is one server for each event loop; all listen
 * on the same port.
 */
public final class HttpFrontEnd {

  // Vert.x binds all servers with the same negative port number to one shared random port. Each
  // front end in a process therefore uses its own negative number.
  private static final AtomicInteger RANDOM_PORT_IDS = new AtomicInteger();

  private final Dependencies dependencies;
  private final List<HttpServer> servers = new CopyOnWriteArrayList<>();
  private String deploymentId;

  /**
   * The components that the front end depends on.
   *
   * @param vertx the Vert.x instance that runs the servers
   * @param settings the active settings
   * @param authenticator authenticates teams and operators by token
   * @param readiness the lifecycle phase of this VM and the number of requests in progress
   * @param metrics the counters and histograms of the daemon
   * @param requestHandler handles callers' requests about programs
   * @param programIds generates program ids
   * @param config reads and publishes configuration branches
   * @param controlLog appends operator commands to the control stream
   * @param drainingEndpoints the endpoints that operators have set to drain
   * @param clock the wall clock, for the times of configuration changes
   * @param statusBody creates the response body of {@code /admin/v1/status}
   */
  public record Dependencies(
      Vertx vertx,
      ActiveSettings settings,
      Authenticator authenticator,
      Readiness readiness,
      DaemonMetrics metrics,
      RequestHandler requestHandler,
      ProgramIdGenerator programIds,
      ConfigStreamClient config,
      ControlLog controlLog,
      DrainingEndpoints drainingEndpoints,
      InstantSource clock,
      Supplier<JsonObject> statusBody) {}

  /** Creates a front end that does not listen until {@link #listen} is called. */
  public HttpFrontEnd(Dependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Starts the servers.
   *
   * @param address the address to listen on; port 0 selects a random free port
   * @param eventLoops the number of servers, each on its own event loop
   */
  public Future<Void> listen(HostPort address, int eventLoops) {
    RouteSupport support =
        new RouteSupport(
            dependencies.vertx(),
            dependencies.authenticator(),
            dependencies.settings(),
            dependencies.readiness(),
            dependencies.metrics());
    ProgramRoutes programRoutes =
        new ProgramRoutes(support, dependencies.requestHandler(), dependencies.programIds());
    AdminRoutes adminRoutes =
        new AdminRoutes(
            support,
            dependencies.config(),
            dependencies.controlLog(),
            dependencies.drainingEndpoints(),
            dependencies.clock(),
            dependencies.statusBody());
    Supplier<Router> routerFactory =
        () -> {
          Router router = Router.router(dependencies.vertx());
          programRoutes.addTo(router);
          adminRoutes.addTo(router);
          new MonitoringRoutes(support).addTo(router);
          router
              .route()
              .last()
              .handler(
                  context ->
                      support.sendProblem(
                          context, ProblemCode.UNKNOWN_PATH, context.request().path()));
          router
              .route()
              .failureHandler(
                  context -> {
                    dependencies.metrics().increment("http_internal_errors");
                    support.sendProblem(
                        context, ProblemCode.INTERNAL, String.valueOf(context.failure()));
                  });
          return router;
        };
    int port = address.port() == 0 ? RANDOM_PORT_IDS.decrementAndGet() : address.port();
    HttpServerOptions options =
        StrictRequestDecoder.options()
            .setHost(address.host())
            .setPort(port)
            .setTcpNoDelay(true)
            .setMaxHeaderSize(dependencies.settings().current().tree().limits().headerBytes());
    return dependencies
        .vertx()
        .deployVerticle(
            () -> new ServerVerticle(options, routerFactory, servers),
            new DeploymentOptions().setInstances(eventLoops))
        .onSuccess(id -> deploymentId = id)
        .mapEmpty();
  }

  /** Returns the port on which the servers listen, after {@link #listen} has completed. */
  public int port() {
    return servers.get(0).actualPort();
  }

  /**
   * Shuts the servers down gracefully: they refuse new connections, complete requests in progress
   * and then close.
   *
   * @param timeoutMs the time in ms after which requests still in progress are cut off
   */
  public Future<Void> shutdown(long timeoutMs) {
    List<Future<Void>> shutdowns =
        servers.stream().map(server -> server.shutdown(timeoutMs, TimeUnit.MILLISECONDS)).toList();
    return Future.join(shutdowns).mapEmpty();
  }

  /** Undeploys and closes the servers; does nothing if they were not started. */
  public Future<Void> close() {
    return deploymentId == null
        ? Future.succeededFuture()
        : dependencies.vertx().undeploy(deploymentId);
  }

  private static final class ServerVerticle extends VerticleBase {

    private final HttpServerOptions options;
    private final Supplier<Router> routerFactory;
    private final List<HttpServer> servers;

    ServerVerticle(
        HttpServerOptions options, Supplier<Router> routerFactory, List<HttpServer> servers) {
      this.options = options;
      this.routerFactory = routerFactory;
      this.servers = servers;
    }

    @Override
    public Future<?> start() {
      return vertx
          .createHttpServer(options)
          .connectionHandler(connection -> StrictRequestDecoder.install(connection, options))
          .requestHandler(routerFactory.get())
          .listen()
          .onSuccess(servers::add);
    }
  }
}
