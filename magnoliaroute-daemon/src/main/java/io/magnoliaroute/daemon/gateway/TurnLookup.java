package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.gateway.history.AbsenceProof;
import io.magnoliaroute.core.gateway.history.CallBudget;
import io.magnoliaroute.core.gateway.history.HistoryRecord;
import io.magnoliaroute.core.gateway.history.KeptTurn;
import io.magnoliaroute.core.gateway.history.TurnChain;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Looks up the chain of a turn: in memory, at the home VMs of its records, and at the VM that
 * served it. Used on one event loop.
 */
final class TurnLookup {

  /** Time limit of a lookup. */
  private static final long LOOKUP_LIMIT_MS = 400;

  /** Time after which the next home VM is asked as well; several times a read of the store. */
  private static final long HEDGE_MS = 60;

  /** Home VMs that are asked for a record. */
  private static final int MAX_HOMES_ASKED = 3;

  /** Time that the VM that served a turn has to reply before the home VMs are asked. */
  private static final long SERVER_WAIT_MS = 60;

  /** Time that all VMs have to reply whether they hold an unstored record. */
  private static final long PROOF_WAIT_MS = 120;

  /** Rounds in which records are collected: a turn found in one may refer to a shared part. */
  private static final int MAX_ROUNDS = 3;

  /**
   * Rate at which this VM asks all others for turns that it did not find. Each time takes a message
   * to every VM, and a client may send any number of invalid ids.
   */
  private static final double PROOFS_PER_S = 5;

  private static final PeerMessage.HistoryReply NO_REPLY =
      new PeerMessage.HistoryReply(0, List.of(), false, false);

  private final Vertx vertx;
  private final TurnHistory history;
  private final TurnPeers peers;
  private final InstantSource clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final CallBudget proofs = new CallBudget();

  /** What a lookup found. */
  enum Outcome {
    /** The chain is complete. */
    FOUND,
    /** It is proven that the turn does not exist. */
    ABSENT,
    /** The turn may exist. */
    UNCERTAIN
  }

  /**
   * The result of a lookup.
   *
   * @param chain the chain; empty unless it was found
   */
  record Result(Outcome outcome, Optional<TurnChain> chain) {

    static Result uncertain() {
      return new Result(Outcome.UNCERTAIN, Optional.empty());
    }
  }

  TurnLookup(TurnContext context, TurnHistory history, TurnPeers peers) {
    this.vertx = context.vertx();
    this.history = history;
    this.peers = peers;
    this.clock = context.clock();
    this.log = context.log();
    this.metrics = context.metrics();
  }

  /** Looks up the chain that ends with the turn of the key. Never fails. */
  Future<Result> find(String key) {
    return peers
        .within(LOOKUP_LIMIT_MS, new Search(key).run())
        .otherwise(
            e -> {
              metrics.countTurn("uncertain");
              log.line("turn_uncertain")
                  .put("key", key)
                  .put("cause", String.valueOf(e.getMessage()))
                  .write();
              return Result.uncertain();
            });
  }

  /** One lookup. Its records stay at hand even if the cache evicts them meanwhile. */
  private final class Search {

    private final String key;
    private final Map<String, HistoryRecord> found = new HashMap<>();
    private String source = "memory";

    Search(String key) {
      this.key = key;
    }

    Future<Result> run() {
      if (find(key).isPresent()) {
        return collect(0);
      }
      source = "home";
      return askHomes(List.of(key)).compose(reply -> add(reply) ? collect(0) : proveAbsence());
    }

    private Optional<HistoryRecord> find(String wanted) {
      HistoryRecord present = found.get(wanted);
      if (present != null) {
        return Optional.of(present);
      }
      Optional<HistoryRecord> remembered = history.findInMemory(wanted);
      remembered.ifPresent(each -> found.put(wanted, each));
      return remembered;
    }

    // Returns whether the newest turn is at hand.
    private boolean add(PeerMessage.HistoryReply reply) {
      history.remember(reply);
      reply.records().forEach(item -> find(item.key()));
      return find(key).isPresent();
    }

    private Future<Result> collect(int round) {
      KeptTurn newest = (KeptTurn) found.get(key);
      List<String> missing = TurnChain.missingKeys(newest, this::find);
      if (missing.isEmpty()) {
        metrics.countTurn("found_" + source);
        return Future.succeededFuture(
            new Result(Outcome.FOUND, Optional.of(TurnChain.collect(newest, this::find))));
      }
      if (round >= MAX_ROUNDS) {
        return Future.failedFuture(missing.size() + " records of the chain are missing");
      }
      Optional<VmEntry> server = peers.findOther(newest.servedBy());
      Future<PeerMessage.HistoryReply> asked =
          round == 0 && server.isPresent()
              ? peers.request(server.get(), missing, false, SERVER_WAIT_MS).otherwise(NO_REPLY)
              : Future.succeededFuture(NO_REPLY);
      return asked.compose(
          reply -> {
            add(reply);
            return collectAtHomes(newest, round);
          });
    }

    private Future<Result> collectAtHomes(KeptTurn newest, int round) {
      Map<Integer, List<String>> keysByPartition = new HashMap<>();
      for (String each : TurnChain.missingKeys(newest, this::find)) {
        keysByPartition
            .computeIfAbsent(history.partitionOf(each), number -> new ArrayList<>())
            .add(each);
      }
      List<Future<PeerMessage.HistoryReply>> asked = new ArrayList<>();
      keysByPartition.values().forEach(keys -> asked.add(askHomes(keys).onSuccess(this::add)));
      return Future.join(asked).otherwiseEmpty().compose(joined -> collect(round + 1));
    }

    private Future<Result> proveAbsence() {
      if (!proofs.tryTake(PROOFS_PER_S, clock.millis())) {
        return Future.failedFuture("too many unknown turns");
      }
      source = "other_vm";
      return history
          .holders()
          .list()
          .map(holders -> history.holders().others(peers.others(), holders))
          .compose(this::askHolders);
    }

    private Future<Result> askHolders(List<VmEntry> holders) {
      List<VmEntry> others = new ArrayList<>(holders);
      others.removeIf(vm -> peers.unreachableForMs(vm) > history.longestRetentionMs());
      List<Future<PeerMessage.HistoryReply>> asked = new ArrayList<>();
      for (VmEntry vm : others) {
        if (peers.isReachable(vm)) {
          asked.add(peers.request(vm, List.of(key), false, PROOF_WAIT_MS).onSuccess(this::add));
        }
      }
      return Future.join(asked)
          .otherwiseEmpty()
          .compose(
              joined -> {
                List<PeerMessage.HistoryReply> replies =
                    asked.stream().filter(Future::succeeded).map(Future::result).toList();
                return find(key).isPresent() ? collect(0) : askAgain(others.size(), replies);
              });
    }

    // A record that another VM held may have been stored before that VM was asked, so the store has
    // to be read after that.
    private Future<Result> askAgain(int vms, List<PeerMessage.HistoryReply> replies) {
      return askHomes(List.of(key))
          .compose(
              reply -> {
                if (add(reply)) {
                  return collect(0);
                }
                int pastKnown =
                    (int) replies.stream().filter(PeerMessage.HistoryReply::knowsPast).count();
                AbsenceProof proof =
                    new AbsenceProof(
                        reply.readToEnd(), history.isPastKnown(), vms, replies.size(), pastKnown);
                if (!proof.isComplete()) {
                  return Future.failedFuture("not proven: " + proof);
                }
                metrics.countTurn("not_found");
                log.line("turn_not_found").put("key", key).put("vms_asked", vms).write();
                return Future.succeededFuture(new Result(Outcome.ABSENT, Optional.empty()));
              });
    }
  }

  /**
   * Asks the home VMs of a partition for records, the next one as well if one is slow. Completes
   * with the first reply that has all records, or that proves that the store does not hold them.
   */
  Future<PeerMessage.HistoryReply> askHomes(List<String> keys) {
    int partition = history.partitionOf(keys.get(0));
    HomeQuery query = new HomeQuery(peers.homes(partition, MAX_HOMES_ASKED), keys);
    query.askNext();
    return query.answer.future();
  }

  /** One question to the home VMs of a partition. */
  private final class HomeQuery {

    private final List<VmEntry> homes;
    private final List<String> keys;
    private final Promise<PeerMessage.HistoryReply> answer = Promise.promise();
    private int next;
    private int open;
    private PeerMessage.HistoryReply best = NO_REPLY;

    HomeQuery(List<VmEntry> homes, List<String> keys) {
      this.homes = homes;
      this.keys = keys;
    }

    void askNext() {
      if (answer.future().isComplete()) {
        return;
      }
      if (next >= homes.size()) {
        if (open == 0) {
          answer.tryComplete(best);
        }
        return;
      }
      VmEntry home = homes.get(next++);
      open++;
      long hedge = vertx.setTimer(HEDGE_MS, fired -> askNext());
      Future<PeerMessage.HistoryReply> asked =
          peers.isSelf(home)
              ? history.answer(keys, true)
              : peers.request(home, keys, true, LOOKUP_LIMIT_MS);
      asked
          .otherwise(NO_REPLY)
          .onSuccess(
              reply -> {
                open--;
                boolean isFirst = vertx.cancelTimer(hedge);
                onReply(reply);
                if (isFirst || open == 0) {
                  askNext();
                }
              });
    }

    private void onReply(PeerMessage.HistoryReply reply) {
      // Records of several keys may be spread over the home VMs.
      history.remember(reply);
      boolean hasAll = reply.records().size() >= keys.size();
      if (hasAll || (reply.readToEnd() && reply.knowsPast())) {
        answer.tryComplete(reply);
        return;
      }
      if (reply.records().size() > best.records().size() || reply.readToEnd()) {
        best = reply;
      }
    }
  }
}
