package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.gateway.history.HistoryRecord;
import io.magnoliaroute.core.gateway.history.HomeVms;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps records safely: stored, or held by the home VMs of their partition while the store does not
 * answer. Used on one event loop.
 */
final class TurnKeeper {

  /** Time after which a response no longer waits for the store if the home VMs hold its record. */
  private static final long STORE_WAIT_MS = 60;

  /** Time after which a response ends although its record is held by this VM alone. */
  private static final long MAX_WAIT_MS = 1_000;

  private final Vertx vertx;
  private final TurnHistory history;
  private final TurnPeers peers;
  private final TurnWriter writer;
  private final StoreHealth storeHealth;
  private final InstantSource clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;

  TurnKeeper(TurnContext context, TurnHistory history, TurnPeers peers, TurnWriter writer) {
    this.vertx = context.vertx();
    this.history = history;
    this.peers = peers;
    this.writer = writer;
    this.storeHealth = context.storeHealth();
    this.clock = context.clock();
    this.log = context.log();
    this.metrics = context.metrics();
  }

  /**
   * Keeps a record. Completes once it is safe, after 1 s at the latest; fails if nobody can hold
   * it.
   */
  Future<Void> keep(HistoryRecord value) {
    return new Keep(value).start();
  }

  /** One record on its way to the store and to its home VMs. */
  private final class Keep {

    private final HistoryRecord value;
    private final long startedAtMs = clock.millis();
    private final Promise<Void> safe = Promise.promise();
    private boolean storeWaitOver;
    private boolean heldByHomes;
    private boolean queued;

    Keep(HistoryRecord value) {
      this.value = value;
    }

    Future<Void> start() {
      history.remember(value);
      storeWaitOver = storeHealth.isDegraded();
      Future<Void> stored = writer.add(value, 0);
      queued = !stored.failed();
      stored.onSuccess(done -> completeAs("kept_in_store"));
      handOver();
      long storeTimer =
          vertx.setTimer(
              STORE_WAIT_MS,
              fired -> {
                storeWaitOver = true;
                completeIfHeld();
              });
      long limitTimer = vertx.setTimer(MAX_WAIT_MS, fired -> giveUp());
      return safe.future()
          .onComplete(
              done -> {
                vertx.cancelTimer(storeTimer);
                vertx.cancelTimer(limitTimer);
              });
    }

    private void handOver() {
      List<VmEntry> homes = peers.homes(history.partitionOf(value.key()), HomeVms.COUNT);
      List<VmEntry> others = homes.stream().filter(vm -> !peers.isSelf(vm)).toList();
      if (others.isEmpty()) {
        return;
      }
      boolean isHome = others.size() < homes.size();
      boolean homeStoresNow = !isHome && !writer.isAppending(value.key());
      List<Future<Boolean>> handovers = new ArrayList<>();
      for (VmEntry home : others) {
        boolean storesNow = homeStoresNow && handovers.isEmpty();
        handovers.add(peers.handOver(home, value, storesNow));
      }
      Future.all(handovers)
          .onSuccess(
              all -> {
                heldByHomes = all.<Boolean>list().stream().allMatch(held -> held);
                if (heldByHomes && others.size() == HomeVms.COUNT) {
                  writer.leaveToHomes(value.key());
                }
                completeIfHeld();
              });
    }

    private void completeIfHeld() {
      if (heldByHomes && storeWaitOver) {
        completeAs("kept_at_homes");
      }
    }

    private void completeAs(String result) {
      if (safe.tryComplete()) {
        metrics.countTurn(result);
      }
    }

    private void giveUp() {
      if (safe.future().isComplete()) {
        return;
      }
      log.line("turn_unstored")
          .put("key", value.key())
          .put("waited_ms", clock.millis() - startedAtMs)
          .put("queued", queued)
          .put("held_by_homes", heldByHomes)
          .put("queue", writer.pendingCount())
          .write();
      metrics.countTurn("unstored");
      if (queued || heldByHomes) {
        safe.tryComplete();
      } else {
        safe.tryFail("no place for the record of the turn");
      }
    }
  }
}
