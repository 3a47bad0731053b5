package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointLoadTracker;
import io.magnoliaroute.core.gateway.EndpointPaths;
import io.magnoliaroute.core.gateway.EndpointSelector;
import io.magnoliaroute.core.gateway.PrefixCacheIndex;
import io.magnoliaroute.core.gateway.RequestLimits;
import io.magnoliaroute.core.gateway.ServiceTimeAverages;
import io.magnoliaroute.core.gateway.ServiceVersions;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.gateway.admission.ReportedOccupancy;
import io.magnoliaroute.core.gateway.admission.ServiceAdmission;
import io.magnoliaroute.core.gateway.history.HolderEntry;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.platform.BootSettings;
import io.magnoliaroute.platform.PlatformFormatException;
import io.magnoliaroute.platform.StoreClient;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.time.InstantSource;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/** A gateway VM that serves clients on the platform. */
public final class GatewayNode {

  /** Capacity of the prefix cache index; several times the number of prefixes in use at present. */
  private static final int PREFIX_CAPACITY = 4_096;

  /**
   * Wait time of a long poll for configuration changes, as a fraction of the time within which they
   * must take effect. A long poll returns the rare changes without delay.
   */
  private static final double CONFIG_WAIT_FRACTION = 0.5;

  /**
   * Pause between reads of the endpoint topic, as a fraction of the drain time limit. Endpoints
   * write continuously, and a drain has to be detected well within its limit.
   */
  private static final double ENDPOINT_PAUSE_FRACTION = 0.3;

  private static final long ENDPOINT_WAIT_MS = 1_000;

  /**
   * Time until the platform has taken a VM that is no longer ready out of rotation. The platform
   * checks readiness once a second and removes a VM after two failed checks.
   */
  private static final long REMOVAL_DELAY_MS = 2_300;

  /**
   * Poll timing of the VM topic. Membership changes are rare, and a late detection of a new VM only
   * delays the first budget requests to it.
   */
  private static final StoreTail.PollTiming VM_POLL_TIMING = new StoreTail.PollTiming(5_000, 0);

  /**
   * Lower bound of the share that this VM takes of the connections that an endpoint accepts,
   * however many VMs share them.
   */
  private static final int MIN_CONNECTIONS = 4;

  /** Share of the store's rate limit for writes that appends of stream versions may use. */
  private static final double STORE_WRITE_SHARE = 0.5;

  /** Share of the sockets for clients; endpoints, other VMs and the store need the rest. */
  private static final double CLIENT_SOCKET_SHARE = 0.75;

  /** Share of the sockets for connections of other VMs, several for each VM of a large fleet. */
  private static final double PEER_SOCKET_SHARE = 0.125;

  /** Ticks between two queries to peers: 300 ms. */
  private static final long PEER_QUERY_TICKS = 300 / Watchdog.CHECK_INTERVAL_MS;

  /** Ticks between two maintenance runs for connections, budgets, peers and log lines: 500 ms. */
  private static final long MAINTENANCE_TICKS = 500 / Watchdog.CHECK_INTERVAL_MS;

  private static final long STOP_CHECK_MS = 50;
  private static final long STOP_MARGIN_MS = 700;

  /**
   * The least time that a step of the stop gets to write to the store: many times its usual
   * response time. The two steps take less than the stop limit leaves ({@link #STOP_MARGIN_MS}).
   */
  private static final long RELEASE_TIMEOUT_MS = 300;

  private final BootSettings settings;
  private final SettingsSource source;
  private final InstantSource clock;
  private final Vertx vertx;
  private final DecisionLog log;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final RoutingState routingState = new RoutingState();
  private final RequestLimits requestLimits = new RequestLimits();
  private final StoreHealth storeHealth;
  private final StoreClient store;
  private final RoutingStateUpdater routingStateUpdater;
  private final RandomGenerator random;
  private final VmDirectory vmDirectory;
  private final PeerConnections peers;
  private final PeerMessageHandler peerMessageHandler;
  private final OutcomeSharing outcomeSharing;
  private final TunnelServer tunnelServer;
  private final RequestPermits requestPermits;
  private final WorkspacePermits workspacePermits;
  private final ServiceVersionLog serviceVersionLog;
  private final StreamVersions streamVersions;
  private final AllowanceService allowances;
  private final TurnHistory turnHistory;
  private final GatewayContext gateway;
  private final ClientServer clientServer;
  private BooleanSupplier routingStateOutdated = () -> true;
  private long ticks;
  private boolean stopping;
  private boolean readyLogged;
  private int clientPort;
  private int readyPort;
  private int peerPort;

  /** Source of the current settings. */
  public interface SettingsSource {

    /** Reads and returns the current settings. */
    BootSettings read() throws IOException, PlatformFormatException;
  }

  /**
   * Creates the components of a VM without starting to listen.
   *
   * @param settings the settings at start-up
   * @param source the source of later settings, of which only the seeds may change
   */
  public GatewayNode(
      Vertx vertx,
      BootSettings settings,
      SettingsSource source,
      InstantSource clock,
      RandomGenerator random) {
    this.vertx = vertx;
    this.settings = settings;
    this.source = source;
    this.clock = clock;
    this.random = random;
    this.log = new DecisionLog(settings.vm().value(), clock);
    this.storeHealth = new StoreHealth(clock, log);
    this.store = new StoreClient(vertx, settings.store(), metrics::countStoreCall);
    this.routingStateUpdater = new RoutingStateUpdater(routingState, storeHealth, clock, log);
    VmEntry self = ownEntry(settings);
    this.vmDirectory = new VmDirectory(self, store, clock, log);
    this.peers = new PeerConnections(vertx, clock, log, metrics, socketShare(PEER_SOCKET_SHARE));
    this.allowances = createAllowances(self);
    this.turnHistory = createTurnHistory(self);
    CrashQuarantine crashQuarantine = new CrashQuarantine(clock, log, metrics);
    EndpointLoadTracker loads = new EndpointLoadTracker();
    EndpointConnectionPool connections =
        new EndpointConnectionPool(vertx, clock, this::connectionShare);
    EndpointPaths paths = new EndpointPaths(settings.vm(), settings.dataCentre());
    ReachabilityMonitor reachability = createReachability(loads, paths, connections);
    this.tunnelServer = new TunnelServer(vertx, routingState, paths, reachability, clock, metrics);
    DepartureTracker departures = new DepartureTracker(routingState, connections, log);
    this.requestPermits = createPermits(self);
    this.workspacePermits = createWorkspacePermits(self);
    ServiceVersions versions = new ServiceVersions();
    this.serviceVersionLog =
        new ServiceVersionLog(vertx, store, routingState, versions, clock, log);
    this.streamVersions =
        new StreamVersions(vertx, store, versions, clock, log, this::storeAppendIntervalMs);
    serviceVersionLog.setListener(streamVersions::onVersionAdded);
    this.outcomeSharing = new OutcomeSharing(self, vmDirectory, peers, loads, clock);
    this.peerMessageHandler =
        new PeerMessageHandler(
            peers,
            new PeerMessageHandler.Dependencies(
                self,
                vmDirectory,
                this::currentSeeds,
                routingState,
                routingStateUpdater,
                allowances,
                crashQuarantine,
                reachability,
                departures,
                outcomeSharing,
                requestPermits,
                workspacePermits,
                tunnelServer,
                turnHistory,
                clock::millis),
            random);
    crashQuarantine.setListener(peerMessageHandler::broadcastCrash);
    reachability.setListener(peerMessageHandler::broadcastUnreachable);
    departures.setListener(peerMessageHandler::broadcastDeparture);
    this.gateway =
        createContext(loads, paths, connections, reachability, departures, crashQuarantine);
    this.clientServer = new ClientServer(gateway, socketShare(CLIENT_SOCKET_SHARE));
  }

  private static VmEntry ownEntry(BootSettings settings) {
    return new VmEntry(
        settings.vm(),
        settings.peerListen().orElse(settings.clientListen()),
        settings.dataCentre(),
        VmEntry.CURRENT_PROTOCOL,
        settings.cpuCores());
  }

  private int socketShare(double share) {
    int sockets = settings.maxDescriptors() - BootSettings.FILE_DESCRIPTORS;
    return Math.max(1, (int) (share * sockets));
  }

  private int connectionShare(int accepted) {
    return Math.max(MIN_CONNECTIONS, accepted / vmDirectory.size());
  }

  private AllowanceService createAllowances(VmEntry self) {
    String holder =
        settings.vm().value() + AllowanceService.HOLDER_SEPARATOR + random.nextLong(Long.MAX_VALUE);
    return new AllowanceService(
        self,
        vmDirectory,
        peers,
        new UsageRecovery(peers, storeHealth, clock, log, settings.firstStart()),
        new AllowanceService.Partitions(
            settings.storePartitions(),
            number -> new AllowanceHolder(vertx, store, storeHealth, clock, log, holder, number)),
        log,
        metrics);
  }

  private TurnHistory createTurnHistory(VmEntry self) {
    TurnContext context = new TurnContext(vertx, store, storeHealth, clock, log, metrics);
    TurnPeers turnPeers = new TurnPeers(vertx, self, vmDirectory, peers);
    RecordHolders holders =
        new RecordHolders(
            new HolderEntry(self, Long.toString(random.nextLong(Long.MAX_VALUE))),
            store,
            log,
            vmDirectory::isListedBeforeStart);
    return new TurnHistory(context, settings, routingState, turnPeers, holders);
  }

  private long storeAppendIntervalMs() {
    double appendsPerS = STORE_WRITE_SHARE * settings.storeWritesPerS() / vmDirectory.size();
    return (long) (1_000 / appendsPerS);
  }

  private RequestPermits createPermits(VmEntry self) {
    PermitIssuerSelector issuers = new PermitIssuerSelector(self, vmDirectory, peers, routingState);
    return new RequestPermits(vertx, peers, issuers, requestLimits, clock, log, metrics);
  }

  private WorkspacePermits createWorkspacePermits(VmEntry self) {
    return new WorkspacePermits(
        new WorkspacePermits.Dependencies(
            vertx, self, vmDirectory, peers, routingState, clock, log, metrics),
        settings.quotaBounds(),
        random);
  }

  private ReachabilityMonitor createReachability(
      EndpointLoadTracker loads, EndpointPaths paths, EndpointConnectionPool connections) {
    return new ReachabilityMonitor(
        routingState, loads, paths, connections, this::availableVms, clock, log);
  }

  private List<VmEntry> availableVms() {
    return vmDirectory.all().stream()
        .filter(vm -> !vm.vm().equals(settings.vm()) && !peers.isUnreachable(vm.address()))
        .toList();
  }

  private GatewayContext createContext(
      EndpointLoadTracker loads,
      EndpointPaths paths,
      EndpointConnectionPool connections,
      ReachabilityMonitor reachability,
      DepartureTracker departures,
      CrashQuarantine crashQuarantine) {
    PrefixCacheIndex prefixCache = new PrefixCacheIndex(PREFIX_CAPACITY);
    ServiceTimeAverages serviceTimes = new ServiceTimeAverages();
    EndpointSelector endpointSelector =
        new EndpointSelector(
            routingState.endpoints(), loads, prefixCache, serviceTimes, requestLimits, paths);
    ServiceAdmission admission =
        new ServiceAdmission(new ReportedOccupancy(routingState.endpoints(), loads), serviceTimes);
    Watchdog watchdog = new Watchdog(clock, log);
    watchdog.setProber(createProber(paths, connections, reachability));
    return new GatewayContext(
        vertx,
        clock,
        random,
        routingState,
        loads,
        prefixCache,
        serviceTimes,
        endpointSelector,
        paths,
        connections,
        reachability,
        new TunnelEnds(peers),
        departures,
        requestPermits,
        workspacePermits,
        serviceVersionLog,
        streamVersions,
        watchdog,
        new ResponseMemoryLimiter(),
        allowances,
        crashQuarantine,
        new KeyAuthorizer(settings.configLimitMs(), settings.keyRevocation()),
        turnHistory,
        admission,
        new DispatchQueue(vertx, clock, admission, metrics),
        log,
        metrics);
  }

  private Watchdog.Prober createProber(
      EndpointPaths paths, EndpointConnectionPool connections, ReachabilityMonitor reachability) {
    return new EndpointProber(
        routingState,
        requestPermits,
        reachability,
        paths,
        new EngineReportClient(vertx, connections),
        new HealthCheckClient(vertx, connections));
  }

  /** Starts following the store and listening for clients and peers. */
  public Future<Void> start() {
    log.line("start")
        .put("data_centre", settings.dataCentre())
        .put("first_start", settings.firstStart())
        .write();
    StoreTail.PollTiming configTiming =
        new StoreTail.PollTiming((long) (CONFIG_WAIT_FRACTION * settings.configLimitMs()), 0);
    StoreTail.PollTiming endpointTiming =
        new StoreTail.PollTiming(
            ENDPOINT_WAIT_MS, (long) (ENDPOINT_PAUSE_FRACTION * settings.drainLimitMs()));
    routingStateUpdater.setEntryListener(serviceVersionLog::observeEntry);
    routingStateUpdater.setListingListener(serviceVersionLog::onEndpointsListed);
    StoreTail config =
        startTail(
            StoreClient.OPERATOR_TOPIC, configTiming, routingStateUpdater.configurationListener());
    StoreTail endpoints =
        startTail(
            StoreClient.ENDPOINT_TOPIC, endpointTiming, routingStateUpdater.endpointListener());
    gateway.keys().setUnconfirmedMs(config::unconfirmedMs);
    routingStateOutdated = () -> config.isBehind() || endpoints.isBehind();
    streamVersions.setEndpointRefresh(
        () -> endpoints.refresh().onSuccess(read -> serviceVersionLog.observeChanges()));
    startTail(VmDirectory.TOPIC, VM_POLL_TIMING, vmDirectory);
    vertx.setPeriodic(Watchdog.CHECK_INTERVAL_MS, timer -> tick());
    ReadinessServer ready = new ReadinessServer(vertx, this::isReady, metrics);
    Future<?> peerListening =
        settings.peerListen().isPresent()
            ? peers
                .listen(settings.peerListen().get(), peerMessageHandler, tunnelServer)
                .onSuccess(listening -> peerPort = listening.actualPort())
            : Future.succeededFuture();
    return peerListening
        .compose(listening -> clientServer.listen(settings.clientListen()))
        .onSuccess(listening -> clientPort = listening.actualPort())
        .compose(listening -> ready.listen(settings.readyListen()))
        .onSuccess(listening -> readyPort = listening.actualPort())
        .mapEmpty();
  }

  // A single timer runs all periodic tasks, because every timer that fires wakes up the process.
  private void tick() {
    ticks++;
    runTask("share outcomes", outcomeSharing::shareIfDue);
    runTask("issue quotas", workspacePermits::tick);
    runTask("check attempts", gateway.watchdog()::check);
    runTask("probe endpoints", gateway.reachability()::probeLostPaths);
    boolean outdated =
        !routingState.canRoute()
            || routingStateOutdated.getAsBoolean()
            || peerMessageHandler.isAwaitingPeerState();
    if (ticks % PEER_QUERY_TICKS == 0 && outdated) {
      runTask("query peers", peerMessageHandler::requestPeerState);
    }
    if (ticks % MAINTENANCE_TICKS == 0) {
      runMaintenance();
    }
  }

  private void runMaintenance() {
    runTask("close idle endpoint connections", gateway.connections()::closeExpired);
    runTask("close idle tunnels", tunnelServer::closeIdle);
    runTask("remove unlisted endpoints", gateway.reachability()::removeUnlisted);
    runTask("maintain budgets", allowances::maintain);
    runTask("maintain kept turns", turnHistory::maintain);
    runTask("maintain versions", serviceVersionLog::maintain);
    runTask("reconnect peers", peers::reconnectUnreachable);
    if (routingState.canRoute()) {
      runTask("register", vmDirectory::register);
    }
    runTask("close idle client connections", clientServer::closeExpired);
    log.flush();
  }

  // A failing task must not keep the remaining tasks from running.
  private void runTask(String name, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      metrics.count("internal_errors");
      log.line("internal_error").put("step", name).put("problem", String.valueOf(e)).write();
    }
  }

  /** Handles the signal that the settings file may have changed. */
  public void reload() {
    vertx.runOnContext(run -> log.line("reload").put("seeds", currentSeeds().toString()).write());
  }

  // The file can change without a signal, so it is read again whenever the seeds are needed.
  private List<HostPort> currentSeeds() {
    try {
      return source.read().seeds();
    } catch (IOException | PlatformFormatException e) {
      log.line("settings_unreadable").put("problem", String.valueOf(e.getMessage())).write();
      return settings.seeds();
    }
  }

  /**
   * Stops the VM: reports it as not ready, lets requests in progress finish, closes the connections
   * and releases the token budgets.
   */
  public Future<Void> stop() {
    Promise<Void> done = Promise.promise();
    vertx.runOnContext(run -> beginShutdown(done));
    return done.future();
  }

  private void beginShutdown(Promise<Void> done) {
    stopping = true;
    long startedMs = clock.millis();
    log.line("stopping").put("requests", clientServer.activeRequests()).write();
    long limitMs = startedMs + settings.stopGracePeriodMs() - STOP_MARGIN_MS;
    clientServer.beginShutdown(startedMs + REMOVAL_DELAY_MS, limitMs);
    tunnelServer.beginShutdown();
    vmDirectory.deregister();
    allowances.beginDrain();
    awaitIdle(startedMs + REMOVAL_DELAY_MS, limitMs, () -> releaseBudgets(limitMs, done));
  }

  /**
   * Runs the next step of the shutdown once no client connection is open, at the limit at the
   * latest.
   */
  private void awaitIdle(long earliestMs, long limitMs, Runnable next) {
    vertx.setPeriodic(
        STOP_CHECK_MS,
        timer -> {
          long nowMs = clock.millis();
          if (nowMs < earliestMs) {
            return;
          }
          clientServer.closeIdle();
          boolean idle =
              clientServer.activeRequests() == 0
                  && clientServer.usedConnections() == 0
                  && tunnelServer.openTunnels() == 0;
          if (idle || nowMs >= limitMs) {
            vertx.cancelTimer(timer);
            if (!idle) {
              log.line("stop_limit_reached").put("requests", clientServer.activeRequests()).write();
              clientServer.endRequests();
            }
            next.run();
          }
        });
  }

  /**
   * Releases the budgets last, because other VMs use the budget slices of this one until it exits.
   * Requests that arrive meanwhile are still answered, and what they leave unspent is released too.
   */
  private void releaseBudgets(long limitMs, Promise<Void> done) {
    long releaseLimitMs = Math.max(limitMs, clock.millis() + RELEASE_TIMEOUT_MS);
    Runnable storeRest = () -> storeRest(() -> completeStop(done));
    within(
        releaseLimitMs,
        allowances.release(releaseLimitMs),
        () -> awaitIdle(clock.millis(), limitMs, storeRest));
  }

  // Requests that ended during the first release have returned tokens and kept turns.
  private void storeRest(Runnable next) {
    long restLimitMs = clock.millis() + RELEASE_TIMEOUT_MS;
    Future<Void> budgets = allowances.release(restLimitMs);
    within(restLimitMs, Future.join(budgets, turnHistory.stop()).mapEmpty(), next);
  }

  // A call to the store that gets no response must not use up the stop's time.
  private void within(long limitMs, Future<Void> call, Runnable next) {
    Promise<Void> ended = Promise.promise();
    vertx.setTimer(Math.max(1, limitMs - clock.millis()), timedOut -> ended.tryComplete());
    call.onComplete(done -> ended.tryComplete());
    ended.future().onComplete(done -> next.run());
  }

  /** Ends the stop; connections that are still open are closed with the process. */
  void completeStop(Promise<Void> done) {
    clientServer.endRequests();
    tunnelServer.close();
    log.line("stopped").put("requests_cut", clientServer.activeRequests()).write();
    log.flush();
    done.complete();
  }

  boolean isReady() {
    boolean ready = !stopping && routingState.canRoute();
    if (ready && !readyLogged) {
      readyLogged = true;
      log.line("ready").put("config", routingState.tableVersion()).write();
    }
    return ready;
  }

  /** Returns whether this VM may still replace its view of the endpoints by that of a peer. */
  boolean isStarting() {
    return peerMessageHandler.isAwaitingPeerState();
  }

  boolean isStoreUnavailable() {
    return storeHealth.isUnavailable();
  }

  int clientPort() {
    return clientPort;
  }

  int readyPort() {
    return readyPort;
  }

  int peerPort() {
    return peerPort;
  }

  AllowanceService allowances() {
    return allowances;
  }

  long peakResponseBytes() {
    return gateway.responseMemory().peakBytes();
  }

  int knownVms() {
    return vmDirectory.size();
  }

  boolean isRecordHolder() {
    return turnHistory.holders().isRegistered();
  }

  int loadedPartitions() {
    return allowances.loadedPartitions();
  }

  int limitedEndpoints() {
    return requestLimits.all().size();
  }

  int waitingRequests() {
    return gateway.dispatchQueue().size();
  }

  int usableEndpoints(String service) {
    return routingState.endpoints().usableEndpoints(service, clock.millis()).size();
  }

  private StoreTail startTail(
      String topic, StoreTail.PollTiming timing, StoreTail.Listener listener) {
    StoreTail tail = new StoreTail(vertx, store, storeHealth, random, topic, timing, listener);
    tail.start();
    return tail;
  }
}
