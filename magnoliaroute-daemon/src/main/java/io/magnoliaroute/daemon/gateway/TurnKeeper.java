package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.gateway.history.HistoryRecord;
import io.magnoliaroute.core.gateway.history.HomeVms;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.List;

/**
 * Keeps records safely: stored, or held by the home VMs of their partition while the store does not
 * answer. Used on one event loop.
 */
final class TurnKeeper {

  /** Time after which a response no longer waits for the store if the home VMs hold its record. */
  private static final long STORE_WAIT_MS = 60;

  /** Time after which a home VM that has not replied is replaced by the next one in order. */
  private static final long HOME_WAIT_MS = 80;

  private static final int MAX_HOMES_TRIED = 5;

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
    private final List<VmEntry> homes;
    private int nextHome;
    private int otherHolders;
    private boolean isHome;
    private boolean queued;

    Keep(HistoryRecord value) {
      this.value = value;
      this.homes = peers.homes(history.partitionOf(value.key()), MAX_HOMES_TRIED);
    }

    Future<Void> start() {
      history.remember(value);
      storeWaitOver = storeHealth.isDegraded();
      Future<Void> stored = writer.add(value, 0);
      queued = !stored.failed();
      stored.onSuccess(done -> completeAs("kept_in_store"));
      for (int i = 0; i < HomeVms.COUNT; i++) {
        handToNextHome();
      }
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

    /** Hands the record to the next home VM in order; again if that one does not hold it. */
    private void handToNextHome() {
      if (nextHome >= homes.size() || safe.future().isComplete()) {
        return;
      }
      VmEntry home = homes.get(nextHome++);
      if (peers.isSelf(home)) {
        isHome = queued && history.holders().isRegistered();
        onReply(isHome);
        return;
      }
      boolean storesNow = otherHolders == 0 && !isHome && !writer.isAppending(value.key());
      long timer = vertx.setTimer(HOME_WAIT_MS, fired -> handToNextHome());
      peers
          .handOver(home, value, storesNow)
          .onSuccess(
              held -> {
                otherHolders += held ? 1 : 0;
                boolean inTime = vertx.cancelTimer(timer);
                onReply(held || !inTime);
              });
    }

    private void onReply(boolean heldOrReplaced) {
      if (otherHolders >= HomeVms.COUNT) {
        writer.leaveToHomes(value.key(), !storeHealth.isDegraded());
      }
      completeIfHeld();
      if (!heldOrReplaced) {
        handToNextHome();
      }
    }

    private boolean isHeldByHomes() {
      return otherHolders + (isHome ? 1 : 0) >= HomeVms.COUNT;
    }

    private void completeIfHeld() {
      if (isHeldByHomes() && storeWaitOver) {
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
          .put("holders", otherHolders)
          .put("queue", writer.pendingCount())
          .write();
      metrics.countTurn("unstored");
      if (queued || otherHolders > 0) {
        safe.tryComplete();
      } else {
        safe.tryFail("no place for the record of the turn");
      }
    }
  }
}
