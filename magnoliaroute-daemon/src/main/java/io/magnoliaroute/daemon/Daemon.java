package io.magnoliaroute.daemon;

import io.magnoliaroute.core.config.ConfigSnapshotter;
import io.magnoliaroute.core.config.SnapshotSchedule;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.membership.Member;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.Limits;
import io.magnoliaroute.core.settings.ProcessSettings;
import io.magnoliaroute.daemon.engine.EndpointTimeouts;
import io.magnoliaroute.daemon.engine.EngineCacheClient;
import io.magnoliaroute.daemon.engine.EngineClient;
import io.magnoliaroute.daemon.engine.ServiceClient;
import io.magnoliaroute.daemon.http.Authenticator;
import io.magnoliaroute.daemon.http.HttpFrontEnd;
import io.magnoliaroute.daemon.http.ProgramIdGenerator;
import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.lifecycle.StopReport;
import io.magnoliaroute.daemon.lifecycle.StopSequence;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.peer.MirroredTurns;
import io.magnoliaroute.daemon.peer.PeerNode;
import io.magnoliaroute.daemon.platform.ConfigStreamClient;
import io.magnoliaroute.daemon.platform.ControlStreamClient;
import io.magnoliaroute.daemon.platform.LogRetention;
import io.magnoliaroute.daemon.platform.TeamBudgets;
import io.magnoliaroute.daemon.platform.VmListPoller;
import io.magnoliaroute.daemon.program.PartitionHost;
import io.magnoliaroute.daemon.program.PartitionMaintenance;
import io.magnoliaroute.daemon.program.Partitions;
import io.magnoliaroute.daemon.program.ProgramDependencies;
import io.magnoliaroute.daemon.program.ProgramHints;
import io.magnoliaroute.daemon.program.ProgramService;
import io.magnoliaroute.daemon.program.ProgramStatusClient;
import io.magnoliaroute.daemon.program.RetryGuard;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.daemon.request.RequestHandler;
import io.magnoliaroute.daemon.settings.ActiveSettings;
import io.magnoliaroute.daemon.slot.DrainingEndpoints;
import io.magnoliaroute.daemon.slot.EngineCacheReclaimer;
import io.magnoliaroute.daemon.slot.LocalSlots;
import io.magnoliaroute.wire.Handshake;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.security.SecureRandom;
import java.time.InstantSource;

/** Creates the components of a daemon, connects them, and starts and stops them. */
public final class Daemon {

  private static final long MEMBERSHIP_SETTLE_MS = 3_000;
  private static final long CONFIG_SNAPSHOT_INTERVAL_MS = 60_000;

  private final Vertx vertx;
  private final ProcessSettings processSettings;
  private final InstantSource clock;
  private final ActiveSettings activeSettings = new ActiveSettings();
  private final Readiness readiness = new Readiness();
  private final DaemonMetrics metrics = new DaemonMetrics();
  private final DrainingEndpoints drainingEndpoints = new DrainingEndpoints();
  private final RetryGuard retryGuard = new RetryGuard();
  private final ConfigStreamClient config;
  private final ControlStreamClient control;
  private final TeamBudgets budgets;
  private final Partitions partitions;
  private final LocalSlots slots;
  private final EngineCacheReclaimer engineMemoryReclaimer;
  private final ProgramHints programHints = new ProgramHints();
  private final ProgramService programs;
  private final RequestHandler requestHandler;
  private final HttpFrontEnd frontEnd;
  private final PeerNode peers;
  private final MirroredTurns mirroredTurns;
  private final long startIncarnation;
  private volatile WriterId writer;
  private final Runnable onLeavingMarked;
  private int peerPort;

  /**
   * Creates a daemon that is idle until {@link #start}.
   *
   * @param onLeavingMarked called when the platform's VM list marks this VM as leaving
   */
  public Daemon(
      Vertx vertx,
      ProcessSettings processSettings,
      LogPort log,
      InstantSource clock,
      Runnable onLeavingMarked) {
    this.onLeavingMarked = onLeavingMarked;
    this.vertx = vertx;
    this.processSettings = processSettings;
    this.clock = clock;
    SecureRandom random = new SecureRandom();
    Limits limits = activeSettings.current().tree().limits();
    startIncarnation = clock.millis();
    writer = new WriterId(processSettings.vm(), startIncarnation);
    config = new ConfigStreamClient(log, activeSettings, metrics);
    control = new ControlStreamClient(log, retryGuard, drainingEndpoints, metrics);
    budgets =
        new TeamBudgets(
            vertx, log, clock, processSettings.vm(), writer.toString(), config::versionOf, metrics);
    partitions =
        new Partitions(
            processSettings.partitions(), vertx, log, clock, () -> writer, limits, random);
    slots = new LocalSlots(vertx, clock, activeSettings, drainingEndpoints);
    mirroredTurns = new MirroredTurns(processSettings.partitions(), limits.unloggedBytes());
    mirroredTurns.onTurnStored(this::transferMirroredTurns);
    peers = new PeerNode(peerDependencies(limits));
    EndpointTimeouts timeouts = EndpointTimeouts.defaults();
    engineMemoryReclaimer =
        new EngineCacheReclaimer(
            activeSettings,
            new EngineCacheClient(vertx, timeouts),
            metrics,
            pool -> peers.ownsGroup(LocalSlots.groupOf(pool)),
            new ProgramStatusClient(vertx, this::handleInternalRequest, random),
            clock);
    peers.onPeerLost(engineMemoryReclaimer::onOwnerLost);
    ProgramDependencies dependencies =
        new ProgramDependencies(
            vertx,
            clock,
            random,
            processSettings.dataCentre(),
            activeSettings,
            partitions,
            peers.slots(),
            new EngineClient(vertx, timeouts),
            new ServiceClient(vertx, timeouts),
            budgets,
            retryGuard,
            control,
            this::mirrorUnloggedTurns,
            programHints,
            metrics);
    programs =
        new ProgramService(dependencies, this::onLocalProgramEnded, mirroredTurns::transferTo);
    requestHandler = peers.createRequestHandler(programs, readiness);
    peers.onProgramEnded(
        release -> onProgramEnded(release.program(), new ProgramId(release.group())));
    Authenticator authenticator = new Authenticator(processSettings.operatorTokenHashes());
    activeSettings.addListener(snapshot -> authenticator.updateTeams(snapshot.tree()));
    activeSettings.addListener(budgets::applySettings);
    frontEnd = new HttpFrontEnd(frontEndDependencies(authenticator, random));
  }

  /**
   * Starts the peer and HTTP listeners and reads the settings; completes when callers can connect.
   *
   * @param eventLoops the number of event loops that serve HTTP connections
   */
  public Future<Void> start(int eventLoops) {
    metrics.registerGauge("requests_active", readiness::activeRequestCount);
    metrics.registerGauge("unlogged_bytes", partitions::unloggedBytes);
    metrics.registerGauge("pending_records", () -> partitions.pendingRecordCount(clock.millis()));
    activeSettings.addListener(snapshot -> markReadyIfConfigured());
    return peers
        .start(startIncarnation)
        .compose(
            port -> {
              peerPort = port;
              config.start(vertx).onComplete(ignored -> markReadyIfConfigured());
              control.start(vertx);
              startPeriodicTasks();
              return frontEnd.listen(processSettings.httpListen(), eventLoops);
            });
  }

  /** Returns the port of the HTTP listener for callers. */
  public int httpPort() {
    return frontEnd.port();
  }

  /** Returns the port of the listener for peers. */
  public int peerPort() {
    return peerPort;
  }

  /** Returns the id of this VM. */
  public VmId vm() {
    return processSettings.vm();
  }

  /** Returns the budget accounts of the teams on this VM. */
  public TeamBudgets budgets() {
    return budgets;
  }

  /** Returns the node through which this VM communicates with its peers. */
  public PeerNode peers() {
    return peers;
  }

  /** Returns the metrics of this daemon. */
  public DaemonMetrics metrics() {
    return metrics;
  }

  /** Returns the lifecycle phase and the number of active requests. */
  public Readiness readiness() {
    return readiness;
  }

  /** Returns the upper limit for the duration of a graceful shutdown, in milliseconds. */
  public long drainTimeoutMs() {
    return activeSettings.current().tree().limits().drainTimeoutMs();
  }

  /** Shuts down gracefully and completes with a report. */
  public Future<StopReport> stop() {
    StopSequence.Steps steps =
        new StopSequence.Steps(
            peers::announceLeaving,
            peers::servedRequestCount,
            frontEnd::shutdown,
            budgets::drain,
            () ->
                Math.max(
                    partitions.pendingRecordCount(clock.millis()), partitions.unloggedTurnCount()),
            () -> peers.stop().compose(stopped -> frontEnd.close()),
            drainTimeoutMs());
    return new StopSequence(vertx, clock, readiness, steps).run();
  }

  private HttpFrontEnd.Dependencies frontEndDependencies(
      Authenticator authenticator, SecureRandom random) {
    return new HttpFrontEnd.Dependencies(
        vertx,
        activeSettings,
        authenticator,
        readiness,
        metrics,
        requestHandler,
        new ProgramIdGenerator(random, processSettings.partitions()),
        config,
        control,
        drainingEndpoints,
        clock,
        this::status);
  }

  /**
   * Starts the periodic tasks: maintenance of owned partitions and budgets, configuration
   * snapshots, reclaiming of engine memory, and polling of the VM list.
   */
  private void startPeriodicTasks() {
    vertx.setPeriodic(
        EngineCacheReclaimer.ROUND_INTERVAL_MS, timer -> engineMemoryReclaimer.runRound());
    PartitionMaintenance maintenance =
        new PartitionMaintenance(
            partitions,
            peers::ownsPartition,
            programs::ensureOwned,
            programs::expireIdlePrograms,
            LogRetention.RETENTION_MS,
            clock,
            metrics);
    ConfigSnapshotter snapshotter =
        new ConfigSnapshotter(
            new SnapshotSchedule(processSettings.vm(), LogRetention.RETENTION_MS),
            writer.toString());
    // A VM that has just started has not discovered its peers and would claim their partitions.
    vertx.setTimer(
        MEMBERSHIP_SETTLE_MS,
        ignored -> {
          vertx.setPeriodic(PartitionMaintenance.INTERVAL_MS, timer -> runMaintenance(maintenance));
          vertx.setPeriodic(
              CONFIG_SNAPSHOT_INTERVAL_MS,
              timer ->
                  config.appendDueSnapshots(snapshotter, peers.view().owners(), clock.millis()));
        });
    processSettings
        .vmList()
        .ifPresent(
            address ->
                new VmListPoller(vertx, address, peers::applyPlatformList, metrics).start(vertx));
  }

  private void runMaintenance(PartitionMaintenance maintenance) {
    if (readiness.phase() == Readiness.Phase.READY) {
      maintenance.runRound();
      budgets.runMaintenance(peers.view().owners());
    }
  }

  private void markReadyIfConfigured() {
    if (config.hasSettings()) {
      readiness.markReady();
    }
  }

  private PeerNode.Dependencies peerDependencies(Limits limits) {
    String secret =
        processSettings
            .peerSecret()
            .value()
            .orElseThrow(() -> new IllegalArgumentException("peer secret has not been loaded"));
    return new PeerNode.Dependencies(
        vertx,
        clock,
        processSettings,
        Handshake.decodeSecret(secret),
        limits.frameBytes(),
        metrics,
        config,
        slots,
        mirroredTurns,
        incarnation -> writer = new WriterId(processSettings.vm(), incarnation),
        onLeavingMarked);
  }

  private void mirrorUnloggedTurns(int partition, ProgramId program) {
    PartitionHost host = partitions.host(partition);
    peers.mirrorTurns(partition, program, host.unloggedTurns(program));
  }

  /**
   * Transfers mirrored turns if this VM owns the partition. A turn that a previous owner completed
   * after losing its claim is thereby logged by the new owner.
   */
  private void transferMirroredTurns(int partition) {
    PartitionHost host = partitions.host(partition);
    if (host.isOwner()) {
      mirroredTurns.transferTo(host);
    }
  }

  private void handleInternalRequest(CallerRequest request, ReplySink sink) {
    requestHandler.handle(request, sink);
  }

  private void onLocalProgramEnded(ProgramId program, ProgramId root) {
    programHints
        .cachedEndpoints(program)
        .forEach(endpoint -> engineMemoryReclaimer.release(endpoint, program));
    onProgramEnded(program, root);
    peers.broadcastProgramEnded(program, root);
  }

  private void onProgramEnded(ProgramId program, ProgramId root) {
    engineMemoryReclaimer.onProgramEnded(program);
    if (program.equals(root)) {
      slots.endProgram(root);
    }
  }

  private JsonObject status() {
    JsonObject waiting = new JsonObject();
    slots.waitingCounts().forEach(waiting::put);
    return new JsonObject()
        .put("vm", processSettings.vm().value())
        .put("data_centre", processSettings.dataCentre().value())
        .put("region", processSettings.region().value())
        .put("phase", readiness.phase().name())
        .put("requests_active", readiness.activeRequestCount())
        .put("settings_version", activeSettings.current().version())
        .put("members", members())
        .put("owned_partitions", partitions.ownedPartitions().size())
        .put("waiting_calls", waiting);
  }

  private JsonArray members() {
    JsonArray members = new JsonArray();
    for (Member member : peers.view().members()) {
      members.add(
          new JsonObject()
              .put("vm", member.info().vm().value())
              .put("data_centre", member.info().dataCentre().value())
              .put("state", member.state().name()));
    }
    return members;
  }
}
