package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
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
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Serves other VMs, and asks them for beliefs while the store is away. Used on one event loop. */
final class PeerDesk implements Peers.Server {

  private static final long ASK_MS = 400;

  private final Peers peers;
  private final VmEntry self;
  private final VmRoster roster;
  private final Supplier<List<HostPort>> seeds;
  private final Beliefs beliefs;
  private final BeliefFollower follower;
  private final Allowances allowances;
  private final CrashGuard crashes;
  private final Reachability reachability;
  private final BooleanSupplier behind;
  private final RandomGenerator random;

  /** The parts that messages concern. */
  record Parts(
      VmEntry self,
      VmRoster roster,
      Supplier<List<HostPort>> seeds,
      Beliefs beliefs,
      BeliefFollower follower,
      Allowances allowances,
      CrashGuard crashes,
      Reachability reachability,
      BooleanSupplier behind) {}

  PeerDesk(Peers peers, Parts parts, RandomGenerator random) {
    this.peers = peers;
    this.self = parts.self();
    this.roster = parts.roster();
    this.seeds = parts.seeds();
    this.beliefs = parts.beliefs();
    this.follower = parts.follower();
    this.allowances = parts.allowances();
    this.crashes = parts.crashes();
    this.reachability = parts.reachability();
    this.behind = parts.behind();
    this.random = random;
  }

  /** Tells all VMs of a request that crashed an endpoint. */
  void announceCrash(Fingerprint request, EndpointId endpoint) {
    tellAll(new PeerMessage.RequestCrashed(request.value(), endpoint.value()));
  }

  /** Tells all VMs of an endpoint that accepts no connection from this one. */
  void announceLost(EndpointId endpoint) {
    tellAll(new PeerMessage.EndpointLost(endpoint.value()));
  }

  private void tellAll(PeerMessage news) {
    for (VmEntry vm : roster.all()) {
      if (!vm.vm().equals(self.vm()) && !peers.isSuspect(vm.address())) {
        peers.tell(vm.address(), news);
      }
    }
  }

  /** Asks one VM, chosen by chance, for what it believes. */
  void askForBeliefs() {
    List<HostPort> known = new ArrayList<>();
    for (VmEntry vm : roster.all()) {
      if (!vm.vm().equals(self.vm())) {
        known.add(vm.address());
      }
    }
    known.removeIf(peers::isSuspect);
    if (known.isEmpty()) {
      known.addAll(seeds.get());
      known.remove(self.address());
    }
    if (known.isEmpty()) {
      return;
    }
    HostPort chosen = known.get(random.nextInt(known.size()));
    long request = peers.nextRequest();
    peers
        .ask(chosen, request, new PeerMessage.BeliefsAsk(request, beliefs.tableVersion()), ASK_MS)
        .onSuccess(reply -> learn((PeerMessage.BeliefsReply) reply));
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
  public void told(PeerMessage news) {
    if (news instanceof PeerMessage.AllowanceSettle settle) {
      allowances.settleHere(settle.program(), settle.reservedTokens(), settle.handedTokens());
    } else if (news instanceof PeerMessage.AllowanceNote note) {
      allowances.told(note);
    } else if (news instanceof PeerMessage.ProgramExhausted spent) {
      allowances.exhausted(spent.program());
    } else if (news instanceof PeerMessage.EndpointLost lost) {
      reachability.lostElsewhere(new EndpointId(lost.endpoint()));
    } else if (news instanceof PeerMessage.RequestCrashed crashed) {
      crashes.note(new Fingerprint(crashed.fingerprint()), new EndpointId(crashed.endpoint()));
    }
  }

  // The turn went on without this reservation.
  @Override
  public void answeredLate(HostPort from, PeerMessage answer) {
    if (answer instanceof PeerMessage.AllowanceReply reply
        && reply.verdict().equals(TurnBudgets.Verdict.GRANTED.name())) {
      peers.tell(from, new PeerMessage.AllowanceSettle(reply.program(), reply.turnTokens(), 0));
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
    return new PeerMessage.BeliefsReply(
        ask.request(), Bytes.copyOf(config), !behind.getAsBoolean(), endpoints, vms);
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
