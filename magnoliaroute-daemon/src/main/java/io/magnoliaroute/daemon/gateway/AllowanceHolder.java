package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.allowance.AllowancePartition;
import io.magnoliaroute.core.allowance.Grant;
import io.magnoliaroute.core.allowance.ReportedUse;
import io.magnoliaroute.core.allowance.ReservationResult;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreException;
import io.magnoliaroute.platform.StoreRecord;
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
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Holds one partition of the token budgets on this VM, and reads and writes its records in the
 * store. Used on one event loop.
 */
final class AllowanceHolder {

  /** The topic of the budgets' records. */
  static final String TOPIC = StoreClient.KEYED_PREFIX + "allowances";

  /** How long a turn waits for its slice: many times the usual response time of the store. */
  static final long DECISION_TIMEOUT_MS = 120;

  /** Records older than this are read again before a decision on a program not known yet. */
  private static final long MAX_STALENESS_MS = 1_000;

  /** Time without a turn after which a holder that is not the program's first gives slices back. */
  private static final long IDLE_SLICE_MS = 2_000;

  private static final long RETRY_MS = 50;
  private static final long NO_CALL = -1;

  private final Vertx vertx;
  private final StoreClient store;
  private final StoreHealth health;
  private final InstantSource clock;
  private final DecisionLog log;
  private final int partitionNumber;
  private final AllowancePartition partition;
  private final List<Runnable> waitingDecisions = new ArrayList<>();
  private Future<Void> pendingLoad;
  private long callStartedMs = NO_CALL;
  private Consumer<PeerMessage.UsageNote> recordListener = note -> {};
  private boolean released;

  private record Turn(String program, long budgetTokens, long tokens) {}

  AllowanceHolder(
      Vertx vertx,
      StoreClient store,
      StoreHealth health,
      InstantSource clock,
      DecisionLog log,
      String holder,
      int partitionNumber) {
    this.vertx = vertx;
    this.store = store;
    this.health = health;
    this.clock = clock;
    this.log = log;
    this.partitionNumber = partitionNumber;
    this.partition = new AllowancePartition(holder);
  }

  /**
   * Sets the listener that receives a note for each holder whose use from memory has been recorded
   * by this VM, so that other VMs stop counting it separately.
   */
  void setRecordListener(Consumer<PeerMessage.UsageNote> listener) {
    recordListener = listener;
  }

  /**
   * Decides on a turn. Decides from memory only if this VM's own calls to the store fail, even if
   * the requesting VM cannot reach the store: when both sides of a network partition decide from
   * memory, two turns too many are granted.
   *
   * @param deciders number of VMs that may decide at the same time without knowing of each other
   */
  Future<TokenBudgets.Verdict> reserve(
      String program, long budgetTokens, long turnTokens, int deciders, TokenBudgets.Mode mode) {
    if (mode == TokenBudgets.Mode.OWN_SLICE) {
      return reserveFromOwnSlices(program, turnTokens);
    }
    if (released) {
      return Future.succeededFuture(TokenBudgets.Verdict.UNABLE);
    }
    if (mode != TokenBudgets.Mode.RECORDED && health.isDegraded()) {
      if (mode == TokenBudgets.Mode.REMEMBERED && !partition.isLoaded()) {
        return Future.succeededFuture(TokenBudgets.Verdict.UNABLE);
      }
      ReservationResult decision =
          partition.reserveOffline(program, budgetTokens, turnTokens, deciders, clock.millis());
      return Future.succeededFuture(
          decision == ReservationResult.WAIT ? TokenBudgets.Verdict.WITHHELD : toVerdict(decision));
    }
    Promise<TokenBudgets.Verdict> promise = Promise.promise();
    long timer = vertx.setTimer(DECISION_TIMEOUT_MS, fired -> onDecisionTimeout(promise));
    ensureCurrent(program)
        .onSuccess(ready -> decide(new Turn(program, budgetTokens, turnTokens), false, promise))
        .onFailure(e -> promise.tryComplete(TokenBudgets.Verdict.UNABLE));
    return promise.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  // The rest of a slice may cover a turn together with what the requesting holder has left.
  private Future<TokenBudgets.Verdict> reserveFromOwnSlices(String program, long turnTokens) {
    ReservationResult decision =
        partition.reserveFromOwnSlices(program, turnTokens, clock.millis());
    boolean hasRest =
        decision == ReservationResult.EXHAUSTED && partition.unspentTokens(program) > 0;
    if (!hasRest) {
      return Future.succeededFuture(toVerdict(decision));
    }
    return releaseRest(program)
        .recover(
            e ->
                StoreException.isConflict(e)
                    ? read().compose(read -> releaseRest(program))
                    : Future.failedFuture(e))
        .onFailure(this::onReleaseFailed)
        .map(TokenBudgets.Verdict.EXHAUSTED)
        .otherwise(TokenBudgets.Verdict.UNABLE);
  }

  private Future<Void> releaseRest(String program) {
    Optional<AllowancePartition.Append> release =
        health.isUnavailable() ? Optional.empty() : partition.nextRelease(program);
    return release.isEmpty() ? Future.failedFuture("not now") : appendRelease(release.get());
  }

  void settle(String program, long reservedTokens, long deliveredTokens) {
    partition.settle(program, reservedTokens, deliveredTokens, clock.millis());
  }

  boolean isLoaded() {
    return partition.isLoaded();
  }

  /** Returns the tokens known to be used of a program's budget. */
  long usedTokens(String program) {
    return partition.usedTokens(program);
  }

  /** Returns the name of another holder that may have unspent tokens of the program. */
  Optional<String> otherSliceHolder(String program) {
    return partition.otherSliceHolder(program);
  }

  /** Applies the usage that another holder reports. */
  void onUsageNote(PeerMessage.UsageNote note) {
    partition.applyReportedUsage(
        note.program(), note.holder(), note.usedTokens(), note.unrecordedTokens(), clock.millis());
  }

  /** Returns the usage of a program's budget, for replication to other VMs. */
  PeerMessage.UsageNote usageNote(String program) {
    return new PeerMessage.UsageNote(
        program,
        partition.holder(),
        partition.usedTokens(program),
        partition.unrecordedTokens(program));
  }

  /** Returns the use of a program's budget that no record covers, of each holder. */
  List<PeerMessage.UsageNote> unrecordedUse(String program) {
    List<PeerMessage.UsageNote> notes = new ArrayList<>();
    long usedTokens = partition.usedTokens(program);
    partition
        .unrecordedUse(program)
        .forEach(
            (holder, tokens) ->
                notes.add(new PeerMessage.UsageNote(program, holder, usedTokens, tokens)));
    return notes;
  }

  /** Loads the records if they can be read, and applies what other VMs know of a program's use. */
  Future<Void> recoverUse(
      String program, long turnTokens, List<PeerMessage.AllowanceReply> replies) {
    return ensureLoaded()
        .otherwiseEmpty()
        .onSuccess(loaded -> applyRecoveredUse(program, turnTokens, replies));
  }

  private void applyRecoveredUse(
      String program, long turnTokens, List<PeerMessage.AllowanceReply> replies) {
    Map<String, ReportedUse> reported = new HashMap<>();
    long unattributedTokens = 0;
    for (PeerMessage.AllowanceReply reply : replies) {
      if (reply.unrecorded() == null) {
        unattributedTokens = Math.max(unattributedTokens, reply.usedTokens());
        continue;
      }
      for (PeerMessage.UsageNote note : reply.unrecorded()) {
        reported.merge(
            note.holder(),
            new ReportedUse(note.usedTokens(), note.unrecordedTokens()),
            ReportedUse::max);
      }
    }
    partition.applyRecoveredUse(program, reported, clock.millis());
    // Such reports still count running turns with their maximum, so one turn may be no lost use.
    if (partition.isLoaded() && unattributedTokens > partition.usedTokens(program) + turnTokens) {
      partition.adoptUse(program, unattributedTokens, clock.millis());
    }
  }

  /** Counts the use that may have been forgotten by holders that all ended in an outage. */
  void assumeForgottenUse(String program, long budgetTokens, long turnTokens) {
    partition.assumeForgottenUse(program, budgetTokens, turnTokens, clock.millis());
  }

  /**
   * Records turns that were granted without a record, once the store can be reached.
   *
   * @param hasEnded whether the holder of a name has ended, so that this one records its turns
   */
  void recordUnrecordedTurns(Predicate<String> hasEnded) {
    partition.takeOverUse(hasEnded);
    if (released || health.isUnavailable() || !partition.needsRecord()) {
      return;
    }
    if (partition.isLoaded()) {
      append();
    } else {
      ensureLoaded().onSuccess(loaded -> append());
    }
  }

  /** Loads the records, so that this VM can decide from memory if the store becomes unavailable. */
  Future<Void> ensureLoaded() {
    if (partition.isLoaded()) {
      return Future.succeededFuture();
    }
    return joinOrStartLoad(this::load);
  }

  /**
   * Releases the unspent tokens by records in the store, so that other holders can grant them, and
   * grants none from now on. Retries until the limit.
   */
  Future<Void> release(long limitMs) {
    released = true;
    return partition.isLoaded() ? releaseUnspent(limitMs) : Future.succeededFuture();
  }

  /**
   * Releases the unspent tokens of programs whose turns have come to other holders for some time,
   * as those cannot grant them.
   */
  void releaseIdle() {
    if (released || health.isUnavailable()) {
      return;
    }
    Optional<AllowancePartition.Append> next = partition.nextRelease(IDLE_SLICE_MS, clock.millis());
    next.ifPresent(release -> appendRelease(release).onFailure(this::onReleaseFailed));
  }

  private void onReleaseFailed(Throwable cause) {
    if (cause instanceof StoreException && !isNotDone(cause)) {
      onAppendFailed(cause);
    }
  }

  private Future<Void> releaseUnspent(long limitMs) {
    if (partition.isAppending()) {
      return retryRelease(limitMs, "an append is in progress");
    }
    Optional<AllowancePartition.Append> next = partition.nextRelease(0, clock.millis());
    if (next.isEmpty()) {
      return Future.succeededFuture();
    }
    return appendRelease(next.get())
        .transform(
            appended -> {
              if (appended.succeeded()) {
                return releaseUnspent(limitMs);
              }
              return isNotDone(appended.cause())
                  ? retryRelease(limitMs, appended.cause().getMessage())
                  : readAndRelease(limitMs, appended.cause());
            });
  }

  // The records of other holders have to be read, or whether the release has taken effect.
  private Future<Void> readAndRelease(long limitMs, Throwable cause) {
    return read()
        .transform(
            read -> {
              if (read.succeeded()) {
                return releaseUnspent(limitMs);
              }
              return clock.millis() >= limitMs
                  ? abandonRelease(cause.getMessage())
                  : delay().compose(waited -> readAndRelease(limitMs, cause));
            });
  }

  private Future<Void> retryRelease(long limitMs, String cause) {
    return clock.millis() >= limitMs
        ? abandonRelease(cause)
        : delay().compose(waited -> releaseUnspent(limitMs));
  }

  private Future<Void> abandonRelease(String cause) {
    log.line("slices_not_released")
        .put("partition", partitionNumber)
        .put("cause", String.valueOf(cause))
        .write();
    return Future.succeededFuture();
  }

  private Future<Void> delay() {
    return vertx.timer(RETRY_MS, TimeUnit.MILLISECONDS).mapEmpty();
  }

  private Future<Void> appendRelease(AllowancePartition.Append release) {
    return store
        .append(
            TOPIC,
            partitionNumber,
            Optional.of(release.expectedEnd()),
            toRecords(release.grants(), List.of()))
        .onSuccess(end -> partition.appendSucceeded(release, end, clock.millis()))
        .onFailure(
            e -> {
              if (isNotDone(e)) {
                partition.releaseFailed();
              }
            })
        .mapEmpty();
  }

  private static boolean isNotDone(Throwable cause) {
    return cause instanceof StoreException failure
        && failure.kind() == StoreException.Kind.NOT_DONE;
  }

  private void decide(Turn turn, boolean isCurrent, Promise<TokenBudgets.Verdict> promise) {
    if (promise.future().isComplete()) {
      return;
    }
    ReservationResult decision =
        partition.reserve(turn.program(), turn.budgetTokens(), turn.tokens(), clock.millis());
    if (decision == ReservationResult.EXHAUSTED && !isCurrent) {
      // Other holders may have released slices since this VM read their records.
      readAgain()
          .onSuccess(read -> decide(turn, true, promise))
          .onFailure(e -> promise.tryComplete(TokenBudgets.Verdict.UNABLE));
      return;
    }
    if (decision == ReservationResult.WAIT) {
      if (health.isUnavailableOrSlow()) {
        promise.tryComplete(TokenBudgets.Verdict.UNABLE);
        return;
      }
      waitingDecisions.add(() -> decide(turn, false, promise));
    } else {
      promise.tryComplete(toVerdict(decision));
    }
    append();
  }

  // A read in progress may have begun before the newest records were written.
  private Future<Void> readAgain() {
    Future<Void> earlier =
        pendingLoad == null ? Future.succeededFuture() : pendingLoad.otherwiseEmpty();
    return earlier.compose(done -> joinOrStartLoad(this::read));
  }

  private void onDecisionTimeout(Promise<TokenBudgets.Verdict> promise) {
    if (callStartedMs != NO_CALL) {
      health.recordCallTime(clock.millis() - callStartedMs);
    }
    promise.tryComplete(TokenBudgets.Verdict.UNABLE);
  }

  private <T> Future<T> trackCallStart(Future<T> call) {
    long startedMs = clock.millis();
    callStartedMs = startedMs;
    return call.onComplete(
        done -> {
          if (callStartedMs == startedMs) {
            callStartedMs = NO_CALL;
          }
        });
  }

  private static TokenBudgets.Verdict toVerdict(ReservationResult decision) {
    return switch (decision) {
      case GRANTED -> TokenBudgets.Verdict.GRANTED;
      case EXHAUSTED -> TokenBudgets.Verdict.EXHAUSTED;
      default -> TokenBudgets.Verdict.UNABLE;
    };
  }

  private void append() {
    Optional<AllowancePartition.Append> next = partition.nextAppend(clock.millis());
    if (next.isEmpty()) {
      return;
    }
    AllowancePartition.Append append = next.get();
    List<Grant> coversUse = append.grants().stream().filter(this::coversUnrecordedUse).toList();
    long startedMs = clock.millis();
    trackCallStart(
            store.append(
                TOPIC,
                partitionNumber,
                Optional.of(append.expectedEnd()),
                toRecords(append.grants(), append.expiredPrograms())))
        .onComplete(done -> health.recordCallTime(clock.millis() - startedMs))
        .onSuccess(
            end -> {
              partition.appendSucceeded(append, end, clock.millis());
              coversUse.forEach(this::reportRecord);
              decideWaiting();
            })
        .onFailure(this::onAppendFailed);
  }

  private boolean coversUnrecordedUse(Grant grant) {
    return partition.unrecordedUse(grant.program()).containsKey(grant.holder());
  }

  private void reportRecord(Grant grant) {
    if (!coversUnrecordedUse(grant)) {
      recordListener.accept(
          new PeerMessage.UsageNote(
              grant.program(), grant.holder(), partition.usedTokens(grant.program()), 0));
    }
  }

  private void onAppendFailed(Throwable cause) {
    if (cause instanceof StoreException failure && failure.kind() == StoreException.Kind.NOT_DONE) {
      partition.appendFailed();
      vertx.setTimer(RETRY_MS, fired -> decideWaiting());
      return;
    }
    // The records may have been appended or may still be: read on from the known end to find out.
    read()
        .onComplete(
            done -> {
              if (done.succeeded()) {
                decideWaiting();
              } else {
                partition.appendFailed();
                vertx.setTimer(RETRY_MS, fired -> decideWaiting());
              }
            });
  }

  private void decideWaiting() {
    List<Runnable> decisions = List.copyOf(waitingDecisions);
    waitingDecisions.clear();
    decisions.forEach(Runnable::run);
    append();
  }

  /** Completes once the records are loaded and fresh enough to decide on the program. */
  private Future<Void> ensureCurrent(String program) {
    if (partition.isLoaded()
        && (partition.isKnown(program) || partition.ageMs(clock.millis()) < MAX_STALENESS_MS)) {
      return Future.succeededFuture();
    }
    if (!partition.isLoaded()) {
      return ensureLoaded();
    }
    return joinOrStartLoad(this::read);
  }

  // The promise is set before the step runs, so that a step that fails at once still clears it.
  private Future<Void> joinOrStartLoad(Supplier<Future<Void>> step) {
    if (health.isUnavailable()) {
      return Future.failedFuture("the store is unavailable");
    }
    if (pendingLoad == null) {
      Promise<Void> running = Promise.promise();
      pendingLoad = running.future();
      step.get()
          .onComplete(
              done -> {
                pendingLoad = null;
                running.handle(done);
              });
      return running.future();
    }
    return pendingLoad;
  }

  private Future<Void> load() {
    return trackCallStart(store.listNewest(TOPIC, partitionNumber))
        .map(
            listing -> {
              partition.load(decodeGrants(listing.records()), listing.end(), clock.millis());
              log.line("allowances_loaded")
                  .put("partition", partitionNumber)
                  .put("programs", listing.records().size())
                  .put("end", listing.end())
                  .write();
              return null;
            });
  }

  /** Reads the records that follow, to the end of the partition. */
  private Future<Void> read() {
    if (health.isUnavailable()) {
      return Future.failedFuture("the store is unavailable");
    }
    long start = partition.end();
    return trackCallStart(store.read(TOPIC, partitionNumber, start, 0))
        .compose(
            page -> {
              partition.applyRecords(
                  decodeGrants(page.records()), page.nextOffset(), clock.millis());
              boolean isAtEnd = page.nextOffset() >= page.end() || page.nextOffset() <= start;
              return isAtEnd ? Future.<Void>succeededFuture() : read();
            })
        .recover(e -> StoreException.isExpired(e) ? readNewest() : Future.failedFuture(e));
  }

  // The newest record of each program names all that has been granted, so that the dropped ones
  // are not needed.
  private Future<Void> readNewest() {
    return trackCallStart(store.listNewest(TOPIC, partitionNumber))
        .map(
            listing -> {
              partition.applyRecords(
                  decodeGrants(listing.records()), listing.end(), clock.millis());
              log.line("allowances_listed")
                  .put("partition", partitionNumber)
                  .put("end", listing.end())
                  .write();
              return null;
            });
  }

  private List<Grant> decodeGrants(List<StoreRecord> records) {
    List<Grant> grants = new ArrayList<>();
    for (StoreRecord record : records) {
      if (record.value().isEmpty()) {
        continue;
      }
      try {
        grants.add(Grant.decode(record.key(), record.value().get()));
      } catch (MalformedRecordException e) {
        log.line("record_malformed")
            .put("topic", TOPIC)
            .put("problem", String.valueOf(e.getMessage()))
            .put("offset", record.offset())
            .write();
      }
    }
    return grants;
  }

  private static List<StoreClient.KeyValue> toRecords(
      List<Grant> grants, List<String> expiredPrograms) {
    List<StoreClient.KeyValue> records = new ArrayList<>();
    for (Grant grant : grants) {
      records.add(new StoreClient.KeyValue(grant.program(), grant.encode()));
    }
    for (String program : expiredPrograms) {
      records.add(new StoreClient.KeyValue(program, Bytes.copyOf(new byte[0])));
    }
    return records;
  }
}
