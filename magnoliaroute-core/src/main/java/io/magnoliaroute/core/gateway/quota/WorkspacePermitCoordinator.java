package io.magnoliaroute.core.gateway.quota;

import io.magnoliaroute.core.gateway.RequestPermitIssuer.Permit;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.gateway.quota.PermitDecision.Verdict;
import io.magnoliaroute.core.model.VmId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Obtains and issues the permits of workspaces on one VM. For each workspace, the first reachable
 * VM of its order issues the permits for all. Not thread-safe; confined to one event loop.
 */
public final class WorkspacePermitCoordinator {

  /** How long a VM waits for the issuer before it asks the next VM of the order. */
  public static final long REPLY_WAIT_MS = 60;

  /** The same if the asked VM may wait for the issuer itself, to which it forwards the question. */
  public static final long FORWARD_WAIT_MS = 2 * REPLY_WAIT_MS + 20;

  /**
   * Number of VMs that are asked for one permit. Several VMs may be dead; if three do not reply, it
   * is this VM that is cut off.
   */
  private static final int MAX_ASKED = 3;

  /**
   * Time between two ticks from which this process counts as paused: other VMs have taken over the
   * issuing meanwhile. Longer than the delays of a busy event loop, shorter than the quiet time of
   * the VM that takes over.
   */
  static final long PAUSE_MS = 400;

  /** Time after the start for which this VM announces itself to all others. */
  private static final long ANNOUNCE_MS = 3_000;

  /** Number of VMs of a workspace's order that may issue a permit beyond their share. */
  private static final int EXTRA_PERMIT_VMS = 10;

  private final VmId self;
  private final VmReachability reachability;
  private final IssuerOrder order = new IssuerOrder();
  private final WorkspacePermitIssuer issuer;
  private final LocalDenials denials;
  private final Messenger messenger;
  private final Listener listener;
  private final Map<String, VmId> lastIssuers = new HashMap<>();
  private long announceUntilMs = Long.MIN_VALUE;
  private long tickedAtMs = Long.MIN_VALUE;
  private boolean wasIsolated;

  /** Sends messages to other VMs. */
  public interface Messenger {

    /** Asks a VM for a permit; calls back exactly once. */
    void ask(VmId vm, PermitDemand demand, boolean forwarded, long timeoutMs, ReplyHandler handler);

    /** Queries whether a VM replies, which the transport reports as messages received of it. */
    void query(VmId vm);
  }

  /** Receives the reply to a question. */
  public interface ReplyHandler {

    /**
     * Handles the end of a question.
     *
     * @param decision the decision; empty if there was no reply in time
     * @param ended whether the host of the VM refused the connection, so that its process has ended
     */
    void onReply(Optional<PermitDecision> decision, boolean ended, long nowMs);
  }

  /** Is told of changes that operators need to know. */
  public interface Listener {

    /** Is told that another VM issues the permits of a workspace than before. */
    void onIssuerChanged(String workspace, VmId from, VmId to);

    /** Is told that this VM reaches no other VM, or some VM again. */
    void onIsolationChanged(boolean isolated, double share);

    /** Is told that this process was paused, so that its accounts are void. */
    void onPause(long pausedMs);
  }

  /** Creates a coordinator that knows no other VM. */
  public WorkspacePermitCoordinator(
      VmEntry self,
      QuotaBounds bounds,
      LocalDenials denials,
      Messenger messenger,
      Listener listener) {
    this.self = self.vm();
    this.reachability = new VmReachability(self.vm(), self.dataCentre());
    this.issuer = new WorkspacePermitIssuer(bounds);
    this.denials = denials;
    this.messenger = messenger;
    this.listener = listener;
  }

  /** Sets the VMs that take part; the first call starts the announcement of this VM. */
  public void setMembers(Collection<VmEntry> vms, long nowMs) {
    reachability.setMembers(vms, nowMs);
    order.setMembers(vms);
    if (announceUntilMs == Long.MIN_VALUE) {
      announceUntilMs = nowMs + ANNOUNCE_MS;
    }
    sendQueries(nowMs);
  }

  /** Runs the periodic work; to be called every 100 ms. */
  public void tick(long nowMs) {
    checkPause(nowMs);
    tickedAtMs = nowMs;
    issuer.retain(workspace -> issuerOf(workspace, nowMs).filter(self::equals).isPresent());
    sendQueries(nowMs);
    boolean isolated = reachability.isIsolated(nowMs);
    if (isolated != wasIsolated) {
      wasIsolated = isolated;
      listener.onIsolationChanged(isolated, reachability.share(nowMs));
    }
  }

  private void checkPause(long nowMs) {
    if (tickedAtMs != Long.MIN_VALUE && nowMs - tickedAtMs > PAUSE_MS) {
      listener.onPause(nowMs - tickedAtMs);
      tickedAtMs = nowMs;
      issuer.reset();
      reachability.recordOwnPause(nowMs);
      announceUntilMs = nowMs + ANNOUNCE_MS;
      sendQueries(nowMs);
    }
  }

  private void sendQueries(long nowMs) {
    boolean all = nowMs < announceUntilMs || !issuer.workspaces().isEmpty();
    reachability.setMode(all ? VmReachability.Mode.ALL : VmReachability.Mode.SUSPECTS, nowMs);
    reachability.queriesDue(nowMs).forEach(messenger::query);
  }

  /** Records a message of another VM. */
  public void recordHeard(VmId vm, long nowMs) {
    reachability.recordHeard(vm, nowMs);
  }

  /** Records that the host of a VM refuses connections, so that its process has ended. */
  public void recordEnded(VmId vm) {
    reachability.recordEnded(vm);
  }

  /** Returns the VM that issues the permits of a workspace; empty if this VM knows of none. */
  public Optional<VmId> issuerOf(String workspace, long nowMs) {
    for (VmId vm : order.of(workspace)) {
      if (reachability.isReachable(vm, nowMs)) {
        return Optional.of(vm);
      }
    }
    return Optional.empty();
  }

  /**
   * Obtains a permit for a request that has arrived at this VM. Within some time after a denial,
   * requests of the workspace are denied without asking the issuer.
   */
  public void acquire(PermitDemand demand, long nowMs, Consumer<PermitDecision> handler) {
    checkPause(nowMs);
    long remainingMs = denials.remainingMs(demand.workspace(), nowMs);
    if (remainingMs > 0) {
      denials.recordLocal(demand.workspace());
      handler.accept(new PermitDecision(Verdict.DENIED, remainingMs, self));
      return;
    }
    ask(
        demand,
        MAX_ASKED,
        nowMs,
        (decision, atMs) -> {
          if (decision.verdict() == Verdict.DENIED) {
            denials.record(demand.workspace(), decision.delayMs(), atMs);
          }
          handler.accept(decision);
        });
  }

  private interface DecisionHandler {
    void accept(PermitDecision decision, long nowMs);
  }

  private void ask(PermitDemand demand, int asksLeft, long nowMs, DecisionHandler handler) {
    Optional<VmId> target = issuerOf(demand.workspace(), nowMs);
    if (target.filter(self::equals).isPresent()) {
      recordIssuer(demand.workspace(), self);
      handler.accept(issue(demand, nowMs), nowMs);
      return;
    }
    if (target.isEmpty() || asksLeft == 0) {
      // Three silent VMs indicate that this one is cut off, which queries to all others will show.
      announceUntilMs = nowMs + ANNOUNCE_MS;
      handler.accept(new PermitDecision(Verdict.UNDECIDED, 0, self), nowMs);
      return;
    }
    VmId asked = target.get();
    recordIssuer(demand.workspace(), asked);
    boolean mayForward = !asked.equals(order.of(demand.workspace()).get(0));
    messenger.ask(
        asked,
        demand,
        false,
        mayForward ? FORWARD_WAIT_MS : REPLY_WAIT_MS,
        (decision, ended, atMs) -> {
          recordOutcome(asked, decision.isPresent(), ended, atMs);
          if (decision.isPresent() && decision.get().verdict() != Verdict.UNDECIDED) {
            handler.accept(decision.get(), atMs);
          } else {
            ask(demand, asksLeft - 1, atMs, handler);
          }
        });
  }

  private void recordOutcome(VmId vm, boolean replied, boolean ended, long nowMs) {
    if (replied) {
      reachability.recordHeard(vm, nowMs);
    } else if (ended) {
      reachability.recordEnded(vm);
    } else {
      reachability.recordSilent(vm);
    }
  }

  private void recordIssuer(String workspace, VmId vm) {
    VmId last = lastIssuers.put(workspace, vm);
    if (last != null && !last.equals(vm)) {
      listener.onIssuerChanged(workspace, last, vm);
    }
    if (lastIssuers.size() > WorkspacePermitIssuer.MAX_ACCOUNTS) {
      lastIssuers.clear();
    }
  }

  /**
   * Decides on the question of another VM, or forwards it to the issuer.
   *
   * @param forwarded whether the question was forwarded already; it is not forwarded twice
   */
  public void onAsk(
      VmId from,
      PermitDemand demand,
      boolean forwarded,
      long nowMs,
      Consumer<PermitDecision> handler) {
    checkPause(nowMs);
    reachability.recordHeard(from, nowMs);
    Optional<VmId> target = issuerOf(demand.workspace(), nowMs);
    if (target.isPresent() && target.get().equals(self)) {
      handler.accept(issue(demand, nowMs));
    } else if (target.isEmpty() || forwarded) {
      handler.accept(new PermitDecision(Verdict.UNDECIDED, 0, self));
    } else {
      forward(target.get(), demand, handler);
    }
  }

  private void forward(VmId target, PermitDemand demand, Consumer<PermitDecision> handler) {
    messenger.ask(
        target,
        demand,
        true,
        REPLY_WAIT_MS,
        (decision, ended, atMs) -> {
          recordOutcome(target, decision.isPresent(), ended, atMs);
          boolean takesOver =
              decision.isEmpty()
                  && issuerOf(demand.workspace(), atMs).filter(self::equals).isPresent();
          handler.accept(
              takesOver
                  ? issue(demand, atMs)
                  : decision.orElse(new PermitDecision(Verdict.UNDECIDED, 0, self)));
        });
  }

  private PermitDecision issue(PermitDemand demand, long nowMs) {
    boolean first = issuer.workspaces().isEmpty();
    if (first) {
      reachability.setMode(VmReachability.Mode.ALL, nowMs);
    }
    Permit permit = issuer.request(demand, standing(demand.workspace(), nowMs), nowMs);
    if (first) {
      sendQueries(nowMs);
    }
    return new PermitDecision(
        permit.granted() ? Verdict.GRANTED : Verdict.DENIED, permit.delayMs(), self);
  }

  private IssuerStanding standing(String workspace, long nowMs) {
    List<VmId> ranked = order.of(workspace);
    int rank = ranked.indexOf(self);
    boolean earlierEnded = rank > 0;
    for (VmId vm : ranked.subList(0, Math.max(0, rank))) {
      earlierEnded &= reachability.hasEnded(vm);
    }
    return new IssuerStanding(
        reachability.share(nowMs),
        earlierEnded || reachability.isKnownToAll(nowMs),
        rank < EXTRA_PERMIT_VMS && reachability.isIsolated(nowMs));
  }

  /** Takes back a permit that this VM issued and whose request did not reach an endpoint. */
  public void onReturn(String workspace, long grantedAtMs, long nowMs) {
    issuer.giveBack(workspace, grantedAtMs, nowMs);
  }

  /** Returns whether this VM reaches no other VM. */
  public boolean isIsolated(long nowMs) {
    return reachability.isIsolated(nowMs);
  }
}
