package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointTombstone;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.retry.Fingerprint;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Handles messages of other VMs, and requests their routing state while the store is unavailable.
 * Used on one event loop.
 */
final class PeerDesk implements Peers.Server {

  private static final long ASK_MS = 400;

  /** A single VM may be out of date; it is unlikely that three are at once. */
  private static final int ASKED_AT_ONCE = 3;

  /** Bounds the wait for a peer's state: the first VM of a cluster has no peer to ask. */
  private static final int FIRST_ROUNDS = 10;

  private final Peers peers;
  private final VmEntry self;
  private final VmRoster roster;
  private final Supplier<List<HostPort>> seeds;
  private final Beliefs beliefs;
  private final BeliefFollower follower;
  private final Allowances allowances;
  private final CrashGuard crashes;
  private final Reachability reachability;
  private final Departures departures;
  private final OutcomeSharing sharing;
  private final BooleanSupplier behind;
  private final LongSupplier nowMs;
  private final RandomGenerator random;
  private boolean heardFromPeers;
  private int rounds;

  /** The components that messages are dispatched to. */
  record Parts(
      VmEntry self,
      VmRoster roster,
      Supplier<List<HostPort>> seeds,
      Beliefs beliefs,
      BeliefFollower follower,
      Allowances allowances,
      CrashGuard crashes,
      Reachability reachability,
      Departures departures,
      OutcomeSharing sharing,
      BooleanSupplier behind,
      LongSupplier nowMs) {}

  PeerDesk(Peers peers, Parts dependencies, RandomGenerator random) {
    this.peers = peers;
    this.self = dependencies.self();
    this.roster = dependencies.roster();
    this.seeds = dependencies.seeds();
    this.beliefs = dependencies.beliefs();
    this.follower = dependencies.follower();
    this.allowances = dependencies.allowances();
    this.crashes = dependencies.crashes();
    this.reachability = dependencies.reachability();
    this.departures = dependencies.departures();
    this.sharing = dependencies.sharing();
    this.behind = dependencies.behind();
    this.nowMs = dependencies.nowMs();
    this.random = random;
  }

  /** Notifies all VMs of a request that crashed an endpoint. */
  void announceCrash(Fingerprint request, EndpointId endpoint) {
    tellAll(new PeerMessage.RequestCrashed(request.value(), endpoint.value()));
  }

  /** Notifies all VMs of an endpoint that does not accept connections from this VM. */
  void announceLost(EndpointId endpoint) {
    tellAll(new PeerMessage.EndpointLost(endpoint.value()));
  }

  /** Notifies all VMs of an endpoint that reported its shutdown. */
  void announceGone(EndpointTombstone gone) {
    tellAll(message(gone));
  }

  private static PeerMessage.EndpointGoneNews message(EndpointTombstone gone) {
    return new PeerMessage.EndpointGoneNews(gone.id().value(), gone.startedAtMs(), gone.sequence());
  }

  private void note(PeerMessage.EndpointGoneNews notice) {
    departures.note(
        new EndpointTombstone(
            new EndpointId(notice.endpoint()), notice.startedAtMs(), notice.sequence()),
        "peer");
  }

  private void tellAll(PeerMessage notification) {
    for (VmEntry vm : roster.all()) {
      if (!vm.vm().equals(self.vm()) && !peers.isSuspect(vm.address())) {
        peers.tell(vm.address(), notification);
      }
    }
  }

  /**
   * Requests the routing state of a few VMs chosen at random. Each of them may be out of date, so
   * the removals that any of them reports are applied before their endpoint lists.
   */
  void askForBeliefs() {
    List<HostPort> addresses = new ArrayList<>();
    for (VmEntry vm : roster.all()) {
      if (!vm.vm().equals(self.vm())) {
        addresses.add(vm.address());
      }
    }
    addresses.removeIf(peers::isSuspect);
    if (addresses.isEmpty()) {
      addresses.addAll(seeds.get());
      addresses.remove(self.address());
    }
    List<Future<PeerMessage>> replies = new ArrayList<>();
    while (!addresses.isEmpty() && replies.size() < ASKED_AT_ONCE) {
      replies.add(ask(addresses.remove(random.nextInt(addresses.size()))));
    }
    Future.join(replies).onComplete(done -> learnAll(replies));
  }

  private Future<PeerMessage> ask(HostPort peer) {
    long requestId = peers.nextRequest();
    return peers.ask(
        peer, requestId, new PeerMessage.BeliefsAsk(requestId, beliefs.tableVersion()), ASK_MS);
  }

  private void learnAll(List<Future<PeerMessage>> results) {
    List<PeerMessage.BeliefsReply> replies = new ArrayList<>();
    for (Future<PeerMessage> each : results) {
      if (each.succeeded()) {
        replies.add((PeerMessage.BeliefsReply) each.result());
      }
    }
    replies.forEach(reply -> reply.gone().forEach(this::note));
    replies.forEach(this::learn);
    heardFromPeers |= !replies.isEmpty();
    rounds++;
  }

  /**
   * Returns whether this VM has just started and no peer has reported yet which endpoints have shut
   * down. The store does not have all of these.
   */
  boolean isNew() {
    return !heardFromPeers && rounds < FIRST_ROUNDS;
  }

  @Override
  public Future<PeerMessage> asked(PeerMessage request) {
    if (request instanceof PeerMessage.AllowanceAsk ask) {
      return allowances
          .reserveHere(
              ask.program(), ask.budgetTokens(), ask.turnTokens(), Allowances.mode(ask.mode()))
          .map(
              verdict ->
                  new PeerMessage.AllowanceReply(
                      ask.request(),
                      ask.program(),
                      ask.turnTokens(),
                      verdict.name(),
                      allowances.usedHere(ask.program()),
                      allowances.granterHere(ask.program()).orElse("")));
    }
    PeerMessage.BeliefsAsk ask = (PeerMessage.BeliefsAsk) request;
    return Future.succeededFuture(describe(ask));
  }

  @Override
  public void told(PeerMessage notification) {
    if (notification instanceof PeerMessage.AllowanceSettle settle) {
      allowances.settleHere(settle.program(), settle.reservedTokens(), settle.handedTokens());
    } else if (notification instanceof PeerMessage.AllowanceNote note) {
      allowances.told(note);
    } else if (notification instanceof PeerMessage.ProgramExhausted spent) {
      allowances.exhausted(spent.program());
    } else if (notification instanceof PeerMessage.EndpointLost lost) {
      reachability.lostElsewhere(new EndpointId(lost.endpoint()));
    } else if (notification instanceof PeerMessage.OutcomesTold outcomes) {
      sharing.told(outcomes);
    } else if (notification instanceof PeerMessage.OutcomeSummary summary) {
      sharing.summary(summary);
    } else if (notification instanceof PeerMessage.EndpointGoneNews departure) {
      note(departure);
    } else if (notification instanceof PeerMessage.RequestCrashed crashed) {
      crashes.note(new Fingerprint(crashed.fingerprint()), new EndpointId(crashed.endpoint()));
    }
  }

  // The turn has continued without this reservation, so its tokens are returned.
  @Override
  public void answeredLate(HostPort from, PeerMessage reply) {
    if (reply instanceof PeerMessage.AllowanceReply late
        && late.verdict().equals(TurnBudgets.Verdict.GRANTED.name())) {
      peers.tell(from, new PeerMessage.AllowanceSettle(late.program(), late.turnTokens(), 0));
    }
  }

  private PeerMessage describe(PeerMessage.BeliefsAsk ask) {
    List<PeerMessage.EndpointBelief> endpoints = new ArrayList<>();
    for (EndpointEntry each : beliefs.endpoints().entries()) {
      endpoints.add(
          new PeerMessage.EndpointBelief(
              each.id().value(),
              each.service(),
              each.address().host(),
              each.address().port(),
              each.dataCentre(),
              each.slots(),
              each.draining(),
              each.startedAtMs(),
              each.sequence()));
    }
    List<PeerMessage.VmBelief> vms = new ArrayList<>();
    for (VmEntry each : roster.all()) {
      vms.add(
          new PeerMessage.VmBelief(
              each.vm().value(), each.address().host(), each.address().port(), each.dataCentre()));
    }
    byte[] config =
        ask.configVersion() < beliefs.tableVersion() ? beliefs.tableBytes() : new byte[0];
    List<PeerMessage.EndpointGoneNews> gone = new ArrayList<>();
    beliefs.endpoints().tombstones(nowMs.getAsLong()).forEach(each -> gone.add(message(each)));
    return new PeerMessage.BeliefsReply(
        ask.request(), Bytes.copyOf(config), !behind.getAsBoolean(), endpoints, gone, vms);
  }

  private void learn(PeerMessage.BeliefsReply reply) {
    if (reply.config().sizeBytes() > 0) {
      follower.configuration(reply.config().toArray(), "peer");
    }
    for (PeerMessage.VmBelief each : reply.vms()) {
      roster.learn(
          new VmEntry(
              new VmId(each.vm()), new HostPort(each.host(), each.port()), each.dataCentre()));
    }
    List<EndpointEntry> endpoints = new ArrayList<>();
    for (PeerMessage.EndpointBelief each : reply.endpoints()) {
      endpoints.add(
          new EndpointEntry(
              new EndpointId(each.id()),
              each.service(),
              new HostPort(each.host(), each.port()),
              each.dataCentre(),
              each.slots(),
              each.draining(),
              each.startedAtMs(),
              each.sequence()));
    }
    follower.endpointsFromPeer(endpoints, reply.current());
  }
}
