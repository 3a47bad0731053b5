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
import io.magnoliaroute.daemon.engine.EngineClient;
import io.magnoliaroute.daemon.engine.EngineMemoryClient;
import io.magnoliaroute.daemon.engine.EngineTimeouts;
import io.magnoliaroute.daemon.engine.ServiceClient;
import io.magnoliaroute.daemon.http.Authenticator;
import io.magnoliaroute.daemon.http.HttpFrontEnd;
import io.magnoliaroute.daemon.http.ProgramIds;
import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.lifecycle.StopReport;
import io.magnoliaroute.daemon.lifecycle.StopSequence;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.peer.MirroredTurns;
import io.magnoliaroute.daemon.peer.PeerNode;
import io.magnoliaroute.daemon.platform.ConfigFollower;
import io.magnoliaroute.daemon.platform.ControlStreamClient;
import io.magnoliaroute.daemon.platform.LogRetention;
import io.magnoliaroute.daemon.platform.TeamBudgets;
import io.magnoliaroute.daemon.platform.VmListPoller;
import io.magnoliaroute.daemon.program.PartitionHost;
import io.magnoliaroute.daemon.program.PartitionTending;
import io.magnoliaroute.daemon.program.Partitions;
import io.magnoliaroute.daemon.program.ProgramMemory;
import io.magnoliaroute.daemon.program.ProgramService;
import io.magnoliaroute.daemon.program.ProgramServices;
import io.magnoliaroute.daemon.program.ProgramStatusClient;
import io.magnoliaroute.daemon.program.RetryGuard;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.daemon.request.RequestHandler;
import io.magnoliaroute.daemon.settings.SettingsBoard;
import io.magnoliaroute.daemon.slot.DrainingEndpoints;
import io.magnoliaroute.daemon.slot.EngineMemoryReclaimer;
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

  private static final long SETTLE_MS = 3_000;
  private static final long CARRY_FORWARD_MS = 60_000;

  private final Vertx vertx;
  private final ProcessSettings process;
  private final InstantSource clock;
  private final SettingsBoard settings = new SettingsBoard();
  private final Readiness readiness = new Readiness();
  private final DaemonMetrics metrics = new DaemonMetrics();
  private final DrainingEndpoints draining = new DrainingEndpoints();
  private final RetryGuard retries = new RetryGuard();
  private final ConfigFollower config;
  private final ControlStreamClient control;
  private final TeamBudgets budgets;
  private final Partitions partitions;
  private final LocalSlots slots;
  private final EngineMemoryReclaimer engineMemory;
  private final ProgramMemory memory = new ProgramMemory();
  private final ProgramService programs;
  private final RequestHandler handler;
  private final HttpFrontEnd frontEnd;
  private final PeerNode peers;
  private final MirroredTurns mirrored;
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
      ProcessSettings process,
      LogPort log,
      InstantSource clock,
      Runnable onLeavingMarked) {
    this.onLeavingMarked = onLeavingMarked;
    this.vertx = vertx;
    this.process = process;
    this.clock = clock;
    SecureRandom random = new SecureRandom();
    Limits limits = settings.current().tree().limits();
    startIncarnation = clock.millis();
    writer = new WriterId(process.vm(), startIncarnation);
    config = new ConfigFollower(log, settings, metrics);
    control = new ControlStreamClient(log, retries, draining, metrics);
    budgets =
        new TeamBudgets(
            vertx, log, clock, process.vm(), writer.toString(), config::versionOf, metrics);
    partitions =
        new Partitions(process.partitions(), vertx, log, clock, () -> writer, limits, random);
    slots = new LocalSlots(vertx, clock, settings, draining);
    mirrored = new MirroredTurns(process.partitions(), limits.unloggedBytes());
    mirrored.onTurnStored(this::offerMirrored);
    peers = new PeerNode(peerParts(limits));
    EngineTimeouts timeouts = EngineTimeouts.defaults();
    engineMemory =
        new EngineMemoryReclaimer(
            settings,
            new EngineMemoryClient(vertx, timeouts),
            metrics,
            pool -> peers.ownsGroup(LocalSlots.groupOf(pool)),
            new ProgramStatusClient(vertx, this::passOn, random),
            clock);
    peers.onPeerLost(engineMemory::onOwnerLost);
    ProgramServices services =
        new ProgramServices(
            vertx,
            clock,
            random,
            process.dataCentre(),
            settings,
            partitions,
            peers.slots(),
            new EngineClient(vertx, timeouts),
            new ServiceClient(vertx, timeouts),
            budgets,
            retries,
            control,
            this::mirror,
            memory,
            metrics);
    programs = new ProgramService(services, this::ended, mirrored::transferTo);
    handler = peers.createRequestHandler(programs, readiness);
    peers.onProgramEnded(
        release -> endedElsewhere(release.program(), new ProgramId(release.group())));
    Authenticator authenticator = new Authenticator(process.operatorTokenHashes());
    settings.listen(snapshot -> authenticator.settings(snapshot.tree()));
    settings.listen(budgets::applySettings);
    frontEnd = new HttpFrontEnd(frontEndParts(authenticator, random));
  }

  /**
   * Starts the peer and HTTP listeners and reads the settings; completes when callers can connect.
   *
   * @param eventLoops the number of event loops that serve HTTP connections
   */
  public Future<Void> start(int eventLoops) {
    metrics.gauge("requests_active", readiness::activeRequests);
    metrics.gauge("unlogged_bytes", partitions::unloggedBytes);
    metrics.gauge("pending_records", () -> partitions.pendingRecords(clock.millis()));
    settings.listen(snapshot -> markReady());
    return peers
        .start(startIncarnation)
        .compose(
            port -> {
              peerPort = port;
              config.start(vertx).onComplete(read -> markReady());
              control.start(vertx);
              startControllers();
              return frontEnd.listen(process.httpListen(), eventLoops);
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
    return process.vm();
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
    return settings.current().tree().limits().drainTimeoutMs();
  }

  /** Shuts down gracefully and completes with a report. */
  public Future<StopReport> stop() {
    StopSequence.Steps steps =
        new StopSequence.Steps(
            peers::announceLeaving,
            peers::servedRequestCount,
            frontEnd::shutdown,
            budgets::drain,
            () -> Math.max(partitions.pendingRecords(clock.millis()), partitions.unloggedTurns()),
            () -> peers.stop().compose(stopped -> frontEnd.close()),
            drainTimeoutMs());
    return new StopSequence(vertx, clock, readiness, steps).run();
  }

  private HttpFrontEnd.Parts frontEndParts(Authenticator authenticator, SecureRandom random) {
    return new HttpFrontEnd.Parts(
        vertx,
        settings,
        authenticator,
        readiness,
        metrics,
        handler,
        new ProgramIds(random, process.partitions()),
        config,
        control,
        draining,
        clock,
        this::status);
  }

  /**
   * Starts the periodic tasks: maintenance of owned partitions and budgets, configuration
   * snapshots, reclaiming of engine memory, and polling of the VM list.
   */
  private void startControllers() {
    vertx.setPeriodic(EngineMemoryReclaimer.ROUND_INTERVAL_MS, timer -> engineMemory.runRound());
    PartitionTending tending =
        new PartitionTending(
            partitions,
            peers::ownsPartition,
            programs::own,
            programs::lapseIdle,
            LogRetention.RETENTION_MS,
            clock,
            metrics);
    ConfigSnapshotter carryForward =
        new ConfigSnapshotter(
            new SnapshotSchedule(process.vm(), LogRetention.RETENTION_MS), writer.toString());
    // A VM that has just started has not discovered its peers and would claim their partitions.
    vertx.setTimer(
        SETTLE_MS,
        settled -> {
          vertx.setPeriodic(PartitionTending.PERIOD_MS, timer -> tend(tending));
          vertx.setPeriodic(
              CARRY_FORWARD_MS,
              timer ->
                  config.appendDueSnapshots(carryForward, peers.view().owners(), clock.millis()));
        });
    process
        .vmList()
        .ifPresent(
            address ->
                new VmListPoller(vertx, address, peers::applyPlatformList, metrics).start(vertx));
  }

  private void tend(PartitionTending tending) {
    if (readiness.phase() == Readiness.Phase.READY) {
      tending.round();
      budgets.runMaintenance(peers.view().owners());
    }
  }

  private void markReady() {
    if (config.hasSettings()) {
      readiness.markReady();
    }
  }

  private PeerNode.Dependencies peerParts(Limits limits) {
    String secret =
        process
            .peerSecret()
            .value()
            .orElseThrow(() -> new IllegalArgumentException("peer secret has not been loaded"));
    return new PeerNode.Dependencies(
        vertx,
        clock,
        process,
        Handshake.secret(secret),
        limits.frameBytes(),
        metrics,
        config,
        slots,
        mirrored,
        incarnation -> writer = new WriterId(process.vm(), incarnation),
        onLeavingMarked);
  }

  private void mirror(int partition, ProgramId program) {
    PartitionHost host = partitions.host(partition);
    peers.mirrorTurns(partition, program, host.unloggedTurns(program));
  }

  /**
   * Transfers mirrored turns if this VM owns the partition. A turn that a previous owner completed
   * after losing its claim is thereby logged by the new owner.
   */
  private void offerMirrored(int partition) {
    PartitionHost host = partitions.host(partition);
    if (host.isOwner()) {
      mirrored.transferTo(host);
    }
  }

  private void passOn(CallerRequest request, ReplySink sink) {
    handler.handle(request, sink);
  }

  private void ended(ProgramId program, ProgramId root) {
    memory.cachedEndpoints(program).forEach(each -> engineMemory.release(each, program));
    endedElsewhere(program, root);
    peers.broadcastProgramEnded(program, root);
  }

  private void endedElsewhere(ProgramId program, ProgramId root) {
    engineMemory.onProgramEnded(program);
    if (program.equals(root)) {
      slots.endProgram(root);
    }
  }

  private JsonObject status() {
    JsonObject waiting = new JsonObject();
    slots.waitingCounts().forEach(waiting::put);
    return new JsonObject()
        .put("vm", process.vm().value())
        .put("data_centre", process.dataCentre().value())
        .put("region", process.region().value())
        .put("phase", readiness.phase().name())
        .put("requests_active", readiness.activeRequests())
        .put("settings_version", settings.current().version())
        .put("members", members())
        .put("owned_partitions", partitions.owned().size())
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
