package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Recovers, after a restart of this VM, the use of token budgets that has no record in the store.
 *
 * <p>Turns that a VM granted from memory while the store was unavailable are known to that VM and
 * to those that it notified. If it ends before it has recorded them, its next start knows nothing
 * of them, although it is again the first to decide. Before its first decision on a program, it
 * therefore asks the VMs that may remember. Used on one event loop.
 */
final class UsageRecovery {

  /** Programs that began before the restart have ended after this time. */
  private static final long RECOVERY_MS = 60_000;

  /**
   * Time for which a VM has to reach the store before others rely on its memory: by then, programs
   * that continue after an outage have sent their next turn.
   */
  private static final long SETTLING_MS = 4_000;

  /** Time that a busy VM may take to reply. */
  private static final long REPLY_TIMEOUT_MS = 150;

  private final PeerConnections peers;
  private final StoreHealth health;
  private final InstantSource clock;
  private final DecisionLog log;
  private final boolean firstStart;
  private final long startedAtMs;
  private final Set<String> recovered = new HashSet<>();

  /**
   * Creates the recovery of this start of the VM.
   *
   * @param firstStart whether the whole system starts for the first time, so that nothing was used
   */
  UsageRecovery(
      PeerConnections peers,
      StoreHealth health,
      InstantSource clock,
      DecisionLog log,
      boolean firstStart) {
    this.peers = peers;
    this.health = health;
    this.clock = clock;
    this.log = log;
    this.firstStart = firstStart;
    this.startedAtMs = clock.millis();
  }

  /** Returns whether this VM has reached the store too recently to remember earlier use. */
  boolean isRestarted() {
    return !firstStart && health.reachedForMs() < SETTLING_MS;
  }

  /** Returns whether the store was unavailable when this VM started. */
  boolean startedInOutage() {
    return health.startedInOutage();
  }

  /** Returns whether the VM has to ask others before its first decision on the program. */
  boolean isNeeded(String program) {
    if (firstStart) {
      return false;
    }
    if (clock.millis() - startedAtMs >= RECOVERY_MS) {
      recovered.clear();
      return false;
    }
    return !recovered.contains(program);
  }

  /**
   * Applies what other VMs remember of a program's use. Completes with whether this VM may decide
   * on the program: not while the store is unavailable and no VM that was there is left.
   */
  Future<Boolean> recover(
      String program,
      long budgetTokens,
      long turnTokens,
      AllowanceHolder holder,
      List<VmEntry> witnesses) {
    List<Future<PeerMessage>> pending = new ArrayList<>();
    for (VmEntry witness : witnesses) {
      long requestId = peers.nextRequestId();
      pending.add(
          peers.sendRequest(
              witness.address(),
              requestId,
              new PeerMessage.AllowanceRequest(
                  requestId, program, budgetTokens, 0, TokenBudgets.Mode.HISTORY.name()),
              REPLY_TIMEOUT_MS));
    }
    return Future.join(pending)
        .<Void>mapEmpty()
        .otherwiseEmpty()
        .compose(
            done -> {
              List<PeerMessage.AllowanceReply> replies = replies(pending);
              return holder
                  .recoverUse(program, turnTokens, replies)
                  .map(applied -> conclude(program, budgetTokens, turnTokens, holder, replies));
            });
  }

  private static List<PeerMessage.AllowanceReply> replies(List<Future<PeerMessage>> pending) {
    List<PeerMessage.AllowanceReply> replies = new ArrayList<>();
    for (Future<PeerMessage> each : pending) {
      if (each.succeeded() && each.result() instanceof PeerMessage.AllowanceReply reply) {
        replies.add(reply);
      }
    }
    return replies;
  }

  private boolean conclude(
      String program,
      long budgetTokens,
      long turnTokens,
      AllowanceHolder holder,
      List<PeerMessage.AllowanceReply> replies) {
    boolean remembered = replies.stream().anyMatch(reply -> !reply.restarted());
    boolean outage =
        startedInOutage() || replies.stream().anyMatch(PeerMessage.AllowanceReply::startedInOutage);
    // While the records cannot be read, the next decision asks again.
    if (holder.isLoaded() && recovered.add(program) && !remembered && outage) {
      holder.assumeForgottenUse(program, budgetTokens, turnTokens);
    }
    log.line("usage_recovered")
        .put("program", program)
        .put("replies", replies.size())
        .put("remembered", remembered)
        .put("outage", outage)
        .put("loaded", holder.isLoaded())
        .write();
    return holder.isLoaded() || remembered;
  }
}
