package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.membership.Rendezvous;
import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntFunction;

/**
 * Finds the holder of a program's budget: the first VM in the order of rendezvous hashing that can
 * be reached and reaches the store. Used on one event loop.
 */
final class Allowances implements TurnBudgets {

  /** VMs that are asked for one turn; after them the turn is decided without the store. */
  private static final int MAX_CANDIDATES = 3;

  /** Longer than a holder waits for the store. */
  private static final long ASK_MS = AllowanceHolder.WAIT_MS + 100;

  private static final Verdict[] VERDICTS = Verdict.values();

  private final VmEntry self;
  private final VmRoster roster;
  private final Peers peers;
  private final IntFunction<AllowanceHolder> makeHolder;
  private final Map<Integer, AllowanceHolder> holders = new HashMap<>();
  private final int partitions;
  private final DecisionLog log;
  private final GatewayMetrics metrics;

  Allowances(
      VmEntry self,
      VmRoster roster,
      Peers peers,
      IntFunction<AllowanceHolder> makeHolder,
      int partitions,
      DecisionLog log,
      GatewayMetrics metrics) {
    this.self = self;
    this.roster = roster;
    this.peers = peers;
    this.makeHolder = makeHolder;
    this.partitions = Math.max(1, partitions);
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public Future<Reservation> reserve(String program, long budgetTokens, long turnTokens) {
    List<VmEntry> candidates = candidates(program);
    return reserveAt(candidates, 0, new Turn(program, budgetTokens, turnTokens), false)
        .onSuccess(reservation -> note(reservation, budgetTokens));
  }

  private record Turn(String program, long budgetTokens, long turnTokens) {}

  @Override
  public void settle(Reservation reservation, long handedTokens) {
    if (reservation.holder().isPresent()) {
      peers.tell(
          reservation.holder().get(),
          new PeerMessage.AllowanceSettle(
              reservation.program(), reservation.reservedTokens(), handedTokens));
    } else {
      settleHere(reservation.program(), reservation.reservedTokens(), handedTokens);
    }
  }

  /** Decides on a turn as the holder of its program's budget. */
  Future<Verdict> reserveHere(String program, long budgetTokens, long turnTokens, boolean offline) {
    return holder(program).reserve(program, budgetTokens, turnTokens, offline);
  }

  void settleHere(String program, long reservedTokens, long handedTokens) {
    holder(program).settle(program, reservedTokens, handedTokens);
  }

  /** Gives back what was not spent. */
  void release() {
    holders.values().forEach(AllowanceHolder::release);
  }

  private Future<Reservation> reserveAt(
      List<VmEntry> candidates, int next, Turn turn, boolean offline) {
    if (next >= candidates.size()) {
      return offline
          ? Future.succeededFuture(reservation(Verdict.UNABLE, turn, self))
          : reserveAt(candidates, 0, turn, true);
    }
    VmEntry candidate = candidates.get(next);
    return verdictOf(candidate, turn, offline)
        .recover(e -> Future.succeededFuture(Verdict.UNABLE))
        .compose(
            verdict ->
                verdict == Verdict.UNABLE
                    ? reserveAt(candidates, next + 1, turn, offline)
                    : Future.succeededFuture(reservation(verdict, turn, candidate)));
  }

  private Future<Verdict> verdictOf(VmEntry candidate, Turn turn, boolean offline) {
    if (candidate.vm().equals(self.vm())) {
      return reserveHere(turn.program(), turn.budgetTokens(), turn.turnTokens(), offline);
    }
    long request = peers.nextRequest();
    return peers
        .ask(
            candidate.address(),
            request,
            new PeerMessage.AllowanceAsk(
                request, turn.program(), turn.budgetTokens(), turn.turnTokens(), offline),
            ASK_MS)
        .map(reply -> verdict(((PeerMessage.AllowanceReply) reply).verdict()));
  }

  private static Verdict verdict(String name) {
    for (Verdict each : VERDICTS) {
      if (each.name().equals(name)) {
        return each;
      }
    }
    return Verdict.UNABLE;
  }

  private Reservation reservation(Verdict verdict, Turn turn, VmEntry holder) {
    Optional<HostPort> address =
        holder.vm().equals(self.vm()) ? Optional.empty() : Optional.of(holder.address());
    return new Reservation(verdict, turn.program(), turn.turnTokens(), address);
  }

  private void note(Reservation reservation, long budgetTokens) {
    metrics.allowance(reservation.verdict().name());
    if (reservation.verdict() != Verdict.GRANTED) {
      log.line("turn_not_granted")
          .put("program", reservation.program())
          .put("verdict", reservation.verdict().name())
          .put("budget", budgetTokens)
          .put("turn", reservation.reservedTokens())
          .put("holder", reservation.holder().map(HostPort::toString).orElse("self"))
          .write();
    }
  }

  private List<VmEntry> candidates(String program) {
    Map<VmId, VmEntry> live = new HashMap<>();
    for (VmEntry vm : roster.all()) {
      if (!peers.isSuspect(vm.address())) {
        live.put(vm.vm(), vm);
      }
    }
    live.put(self.vm(), self);
    List<VmEntry> candidates = new ArrayList<>();
    for (VmId vm : Rendezvous.ranked(Rendezvous.allowanceKey(partition(program)), live.keySet())) {
      if (candidates.size() < MAX_CANDIDATES) {
        candidates.add(live.get(vm));
      }
    }
    return candidates;
  }

  private AllowanceHolder holder(String program) {
    return holders.computeIfAbsent(partition(program), makeHolder::apply);
  }

  private int partition(String program) {
    return (int) Math.floorMod(Hashing.fnv1a64(program), (long) partitions);
  }
}
