package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.config.ConfigFormatException;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.membership.MemberInfo;
import io.magnoliaroute.core.membership.MemberState;
import io.magnoliaroute.core.membership.MembershipController;
import io.magnoliaroute.core.membership.MembershipEvent;
import io.magnoliaroute.core.membership.MembershipSettings;
import io.magnoliaroute.core.membership.MembershipView;
import io.magnoliaroute.core.membership.OutgoingMessage;
import io.magnoliaroute.core.membership.PeerAddress;
import io.magnoliaroute.core.membership.PlatformList;
import io.magnoliaroute.core.membership.RendezvousHashing;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.core.settings.ProcessSettings;
import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.platform.ConfigStreamClient;
import io.magnoliaroute.daemon.program.ProgramService;
import io.magnoliaroute.daemon.request.RequestHandler;
import io.magnoliaroute.daemon.slot.LocalSlots;
import io.magnoliaroute.daemon.slot.Slots;
import io.magnoliaroute.wire.Handshake;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jboss.logging.Logger;

/**
 * The communication of this VM with its peers: membership, forwarded requests, slots, exchange of
 * settings and replication of unlogged history.
 */
public final class PeerNode implements PeerLinks.MessageListener {

  private static final Logger LOG = Logger.getLogger(PeerNode.class);

  private final Vertx vertx;
  private final Context context;
  private final InstantSource clock;
  private final ProcessSettings process;
  private final SecureRandom random;
  private final DaemonMetrics metrics;
  private final ConfigStreamClient configClient;
  private final MirroredTurns mirroredTurns;
  private final PeerLinks links;
  private final ForwardedRequests forwardedRequests;
  private final RemoteSlots remoteSlots;
  private final ServedSlots servedSlots;
  private final LocalSlots localSlots;
  private final LongConsumer onIncarnationChanged;
  private final Runnable onLeavingMarked;
  private Consumer<PeerMessage.CacheRelease> programEndedListener = release -> {};
  private Runnable peerLostListener = () -> {};
  private OwnerRouter router;
  private ServedRequests servedRequests;
  private volatile MembershipController membership;

  /**
   * The dependencies of a node.
   *
   * @param vertx the event loops
   * @param clock the wall clock
   * @param process the settings of this process
   * @param secret the secret shared by all peers, used in the handshake
   * @param maxFrameBytes the maximum length of a frame
   * @param metrics the metrics registry
   * @param configClient the client of the config stream, used to exchange settings with peers
   * @param localSlots the scheduler of the groups that this VM owns
   * @param mirroredTurns the store for unlogged turns of peers
   * @param onIncarnationChanged receives the new incarnation of this VM after a detected pause or a
   *     refuted state
   * @param onLeavingMarked runs when the platform marks this VM as leaving
   */
  public record Dependencies(
      Vertx vertx,
      InstantSource clock,
      ProcessSettings process,
      Bytes secret,
      int maxFrameBytes,
      DaemonMetrics metrics,
      ConfigStreamClient configClient,
      LocalSlots localSlots,
      MirroredTurns mirroredTurns,
      LongConsumer onIncarnationChanged,
      Runnable onLeavingMarked) {}

  /** Creates a node that does not listen yet. */
  public PeerNode(Dependencies dependencies) {
    this.vertx = dependencies.vertx();
    this.context = vertx.getOrCreateContext();
    this.clock = dependencies.clock();
    this.process = dependencies.process();
    this.metrics = dependencies.metrics();
    this.configClient = dependencies.configClient();
    this.mirroredTurns = dependencies.mirroredTurns();
    this.localSlots = dependencies.localSlots();
    this.onIncarnationChanged = dependencies.onIncarnationChanged();
    this.onLeavingMarked = dependencies.onLeavingMarked();
    this.random = new SecureRandom();
    this.links =
        new PeerLinks(
            vertx,
            context,
            () -> new Handshake(process.vm(), dependencies.secret(), random),
            dependencies.maxFrameBytes(),
            random,
            metrics,
            vm -> membership.address(vm));
    links.setListener(this);
    this.forwardedRequests = new ForwardedRequests(context, links);
    this.remoteSlots =
        new RemoteSlots(
            context, links, localSlots, process.vm(), group -> router.ownerOfGroup(group));
    this.servedSlots = new ServedSlots(context, links, localSlots);
  }

  /** Returns the slots of all groups, whichever VM owns them. */
  public Slots slots() {
    return remoteSlots;
  }

  /** Connects the node to the local program service and returns the handler for caller requests. */
  public RequestHandler createRequestHandler(ProgramService programs, Readiness readiness) {
    router =
        new OwnerRouter(
            process.vm(),
            process.region(),
            process.partitions(),
            this::view,
            forwardedRequests,
            programs);
    servedRequests = new ServedRequests(context, links, router, readiness);
    return router;
  }

  /** Starts to listen for peers and to probe them; completes with the bound port. */
  public Future<Integer> start(long incarnation) {
    Promise<Integer> promise = Promise.promise();
    context.runOnContext(
        run ->
            links
                .listen(process.peerListen())
                .onSuccess(
                    port -> {
                      startMembership(port, incarnation);
                      promise.complete(port);
                    })
                .onFailure(promise::fail));
    return promise.future();
  }

  /** Returns the current membership view. */
  public MembershipView view() {
    return membership.view();
  }

  /** Returns whether this VM owns the partition according to the membership view. */
  public boolean ownsPartition(int partition) {
    return router.ownerOf(partition).equals(process.vm());
  }

  /** Returns whether this VM owns the group according to the membership view. */
  public boolean ownsGroup(String group) {
    return router.ownerOfGroup(group).equals(process.vm());
  }

  /** Returns the number of requests that this VM is running for other front ends. */
  public int servedRequestCount() {
    return servedRequests.runningCount();
  }

  /** Adds a seed peer to probe. */
  public void addSeed(VmId vm, HostPort address) {
    context.runOnContext(
        run -> membership.addSeed(vm, new PeerAddress(address.host(), address.port())));
  }

  /** Applies the VM list received from the platform. */
  public void applyPlatformList(PlatformList list) {
    context.runOnContext(run -> membership.applyPlatformList(list, clock.millis()));
  }

  /** Announces to peers that this VM is leaving. */
  public void announceLeaving() {
    context.runOnContext(run -> sendAll(membership.leave(clock.millis())));
  }

  /** Announces to peers that this VM has stopped, then closes the connections. */
  public Future<Void> stop() {
    Promise<Void> promise = Promise.promise();
    context.runOnContext(
        run -> {
          sendAll(membership.stop(clock.millis()));
          // The delay lets the messages be written before the sockets are closed.
          vertx.setTimer(50, timer -> links.close().onComplete(closed -> promise.complete()));
        });
    return promise.future();
  }

  /**
   * Sends copies of unlogged turns to the VM that would own the partition if this VM were gone.
   * Without such a VM, only {@code turns_not_mirrored} is counted.
   */
  public void mirrorTurns(int partition, ProgramId program, List<Turn> turns) {
    context.runOnContext(
        run -> {
          Optional<VmId> next = nextOwner(partition);
          if (next.isEmpty()) {
            metrics.increment("turns_not_mirrored");
            return;
          }
          for (Turn turn : turns) {
            links.send(
                next.get(),
                new PeerMessage.HistoryMirror(
                    partition, program, turn.number(), MirroredTurns.encode(turn)));
          }
        });
  }

  /** Notifies all other owners in the region that a program has ended. */
  public void broadcastProgramEnded(ProgramId program, ProgramId root) {
    context.runOnContext(
        run -> {
          for (VmId vm : view().owners(process.region())) {
            if (!vm.equals(process.vm())) {
              links.send(vm, new PeerMessage.CacheRelease(root.value(), program));
            }
          }
        });
  }

  @Override
  public void onMessage(VmId from, PeerMessage message) {
    if (message instanceof PeerMessage.Membership membershipMessage) {
      sendAll(membership.receive(from, membershipMessage.message(), clock.millis()));
      handleMembershipEvents();
    } else if (message instanceof PeerMessage.ProgramChunk chunk) {
      forwardedRequests.handleChunk(from, chunk);
    } else if (message instanceof PeerMessage.ProgramOpen open) {
      servedRequests.handleOpen(from, open);
    } else if (message instanceof PeerMessage.ProgramHead head) {
      forwardedRequests.handleHead(from, head);
    } else if (message instanceof PeerMessage.ProgramClose close) {
      forwardedRequests.handleClose(from, close.call());
    } else if (message instanceof PeerMessage.ProgramCancel cancel) {
      servedRequests.handleCancel(from, cancel.call());
    } else if (message instanceof PeerMessage.ProgramCredit credit) {
      servedRequests.handleCredit(from, credit.call(), credit.bytes());
    } else {
      handleSlotOrStateMessage(from, message);
    }
  }

  @Override
  public void onIncomingClosed(VmId peer) {
    servedRequests.cancelRequestsOf(peer);
  }

  @Override
  public void onOutgoingClosed(VmId peer) {
    forwardedRequests.handleOwnerLost(peer);
    remoteSlots.handleOwnerLost(peer);
  }

  private void handleSlotOrStateMessage(VmId from, PeerMessage message) {
    if (message instanceof PeerMessage.SlotRequest request) {
      servedSlots.handleRequest(from, request);
    } else if (message instanceof PeerMessage.SlotGrant granted) {
      remoteSlots.handleGrant(from, granted);
    } else if (message instanceof PeerMessage.SlotRefusal refusal) {
      remoteSlots.handleRefusal(from, refusal);
    } else if (message instanceof PeerMessage.SlotProgress progress) {
      localSlots.observe(progress.group(), progress.call(), progress.seen());
    } else if (message instanceof PeerMessage.SlotRelease release) {
      localSlots.release(release.group(), release.call(), release.result());
    } else if (message instanceof PeerMessage.SlotCancel cancel) {
      localSlots.cancel(cancel.group(), cancel.call());
    } else if (message instanceof PeerMessage.SlotPreempt preemption) {
      remoteSlots.handlePreemption(preemption);
    } else if (message instanceof PeerMessage.SlotReport report) {
      servedSlots.handleReport(from, report);
    } else {
      handleStateMessage(from, message);
    }
  }

  private void handleStateMessage(VmId from, PeerMessage message) {
    try {
      if (message instanceof PeerMessage.ConfigPull pull) {
        Bytes branches = configClient.respondToPull(pull.summary());
        links.send(from, new PeerMessage.ConfigPush(pull.request(), branches));
      } else if (message instanceof PeerMessage.ConfigPush push) {
        configClient
            .applyPush(push.branches())
            .ifPresent(next -> links.send(from, new PeerMessage.ConfigPull(0, next)));
      } else if (message instanceof PeerMessage.HistoryMirror mirror) {
        Turn turn = MirroredTurns.decode(mirror.content());
        boolean stored = mirroredTurns.add(mirror.partition(), mirror.program(), turn);
        metrics.increment(stored ? "turns_mirrored_here" : "mirrored_turns_refused");
      } else if (message instanceof PeerMessage.CacheRelease release) {
        programEndedListener.accept(release);
      } else {
        metrics.increment("peer_unexpected_messages");
      }
    } catch (ConfigFormatException | MalformedRecordException e) {
      metrics.increment("peer_malformed_payloads");
    }
  }

  /** Sets the listener for the end of programs owned by other VMs. */
  public void onProgramEnded(Consumer<PeerMessage.CacheRelease> listener) {
    programEndedListener = listener;
  }

  /** Sets the action to run when a peer is declared dead. */
  public void onPeerLost(Runnable listener) {
    peerLostListener = listener;
  }

  private void startMembership(int port, long incarnation) {
    MemberInfo self =
        new MemberInfo(
            process.vm(),
            process.dataCentre(),
            process.region(),
            new PeerAddress(process.peerListen().host(), port));
    membership =
        new MembershipController(
            self, incarnation, MembershipSettings.defaults(), random, clock.millis());
    for (ProcessSettings.Peer peer : process.peers()) {
      if (!peer.vm().equals(process.vm())) {
        HostPort address = peer.address();
        membership.addSeed(peer.vm(), new PeerAddress(address.host(), address.port()));
      }
    }
    vertx.setPeriodic(MembershipController.TICK_MS, tick -> tick());
  }

  private void tick() {
    membership.setConfigVersion(configClient.version());
    sendAll(membership.tick(clock.millis()));
    handleMembershipEvents();
  }

  private void sendAll(List<OutgoingMessage> messages) {
    for (OutgoingMessage each : messages) {
      links.send(each.to(), new PeerMessage.Membership(each.message()));
    }
  }

  private void handleMembershipEvents() {
    for (MembershipEvent event : membership.drainEvents()) {
      if (event instanceof MembershipEvent.StateChanged changed) {
        handleStateChange(changed);
      } else if (event instanceof MembershipEvent.LocalPauseDetected pause) {
        LOG.warnf(
            "detected a pause of this process of %d ms; new incarnation %d",
            pause.gapMs(), pause.incarnation());
        onIncarnationChanged.accept(pause.incarnation());
      } else if (event instanceof MembershipEvent.LocalStateRefuted refuted) {
        LOG.warnf(
            "refuted the state %s reported for this VM; new incarnation %d",
            refuted.refutedState(), refuted.incarnation());
        onIncarnationChanged.accept(refuted.incarnation());
      } else if (event instanceof MembershipEvent.LocalVmMarkedLeaving) {
        onLeavingMarked.run();
      } else if (event instanceof MembershipEvent.NewerConfigReported newer) {
        configClient
            .pullIfBehind(newer.configVersion())
            .ifPresent(pull -> links.send(newer.vm(), new PeerMessage.ConfigPull(0, pull)));
      }
    }
  }

  private void handleStateChange(MembershipEvent.StateChanged changed) {
    metrics.increment("member_state_changes", "to", changed.to().name());
    if (changed.vm().equals(process.vm())) {
      return;
    }
    LOG.infof("peer %s is now %s (previously %s)", changed.vm(), changed.to(), changed.from());
    if (changed.to() == MemberState.DEAD) {
      peerLostListener.run();
      links.drop(changed.vm());
      servedRequests.cancelRequestsOf(changed.vm());
    }
  }

  private Optional<VmId> nextOwner(int partition) {
    return view()
        .owner(
            RendezvousHashing.partitionKey(partition),
            member ->
                member.info().region().equals(process.region())
                    && !member.info().vm().equals(process.vm()));
  }
}
