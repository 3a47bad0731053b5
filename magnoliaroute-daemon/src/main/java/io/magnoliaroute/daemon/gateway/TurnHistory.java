package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.ReceiveMemoryLimiter;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.gateway.history.CallBudget;
import io.magnoliaroute.core.gateway.history.HistoryKeys;
import io.magnoliaroute.core.gateway.history.HistoryRecord;
import io.magnoliaroute.core.gateway.history.HomeVms;
import io.magnoliaroute.core.gateway.history.InterruptedTurns;
import io.magnoliaroute.core.gateway.history.RecordCache;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.platform.BootSettings;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The turns that the system keeps, as this VM knows them: records in memory, records that are not
 * stored yet, and the partitions of which this VM is a home. Used on one event loop.
 */
final class TurnHistory {

  /** Memory for records; a sixth of the heap that a VM is started with. */
  private static final long CACHE_BYTES = 16_777_216;

  /** Share of the store's rate limit for writes that kept turns may use. */
  private static final double STORE_WRITE_SHARE = 0.25;

  /**
   * Time after which a home VM appends a record that was handed to it and that is not in the store
   * by then. The second home VM waits longer, so that usually only one of them appends.
   */
  private static final long FIRST_HOME_DELAY_MS = 1_500;

  private static final long OTHER_HOME_DELAY_MS = 4_000;

  /** Limit of a reply; several times the length of a usual chain. */
  private static final long MAX_REPLY_BYTES = 4_194_304;

  /**
   * Time after which a home VM replies without having read the store. Less than the time-out of the
   * VM that asks, which would consider this one unreachable.
   */
  private static final long READ_LIMIT_MS = 250;

  /** Runs of the maintenance between two reads of a partition: 1 s. */
  private static final long READ_RUNS = 2;

  /** Runs of the maintenance between two deletions of expired records: 10 s. */
  private static final long DELETE_RUNS = 20;

  private final TurnContext context;
  private final RoutingState routingState;
  private final TurnPeers peers;
  private final RecordHolders holders;
  private final InstantSource clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final boolean firstStart;
  private final double storeWritesPerS;
  private final int partitionCount;
  private final long startedAtMs;
  private final RecordCache cache = new RecordCache(CACHE_BYTES);
  private final CallBudget writes = new CallBudget();
  private final TurnWriter writer;
  private final TurnKeeper keeper;
  private final TurnLookup lookup;
  private final SharedParts sharedParts;
  private final InterruptedTurns interruptedTurns = new InterruptedTurns();
  private final Map<Integer, TurnPartition> partitions = new HashMap<>();
  private Optional<ReceiveMemoryLimiter> requestMemory = Optional.empty();
  private long runs;
  private boolean handedOver;
  private long longestRetentionMs;

  /** Partitions are listed one by one: the listings of all together would not fit into the heap. */
  private boolean loading;

  TurnHistory(
      TurnContext context,
      BootSettings settings,
      RoutingState routingState,
      TurnPeers peers,
      RecordHolders holders) {
    this.context = context;
    this.routingState = routingState;
    this.peers = peers;
    this.holders = holders;
    this.clock = context.clock();
    this.log = context.log();
    this.metrics = context.metrics();
    this.firstStart = settings.firstStart();
    this.storeWritesPerS = settings.storeWritesPerS();
    this.partitionCount = Math.max(1, settings.storePartitions());
    this.startedAtMs = clock.millis();
    this.writer = new TurnWriter(context, partitionCount, writes, this::writesPerS);
    this.keeper = new TurnKeeper(context, this, peers, writer);
    this.lookup = new TurnLookup(context, this, peers);
    this.sharedParts = new SharedParts(this, lookup, keeper, clock);
  }

  private double writesPerS() {
    return STORE_WRITE_SHARE * storeWritesPerS / Math.max(1, peers.vmCount());
  }

  /** Sets the limiter of the memory for requests, to which assembled bodies count. */
  void setRequestMemory(ReceiveMemoryLimiter limiter) {
    requestMemory = Optional.of(limiter);
  }

  /** Begins to account for an assembled body. */
  ReceiveMemoryLimiter.Message beginBody() {
    return requestMemory.orElseThrow().begin(() -> {});
  }

  TurnKeeper keeper() {
    return keeper;
  }

  TurnLookup lookup() {
    return lookup;
  }

  InterruptedTurns interruptedTurns() {
    return interruptedTurns;
  }

  SharedParts sharedParts() {
    return sharedParts;
  }

  String ownName() {
    return peers.ownName();
  }

  int partitionOf(String key) {
    return HistoryKeys.partitionOf(key, partitionCount);
  }

  long retentionMs() {
    return routingState.table().map(RoutingTable::maxHistoryRetentionMs).orElse(0L);
  }

  /**
   * Returns the longest retention period that this VM has known. Turns that ended before the
   * configuration made it shorter may still be continued.
   */
  long longestRetentionMs() {
    longestRetentionMs = Math.max(longestRetentionMs, retentionMs());
    return longestRetentionMs;
  }

  RecordHolders holders() {
    return holders;
  }

  /**
   * Returns whether this VM and its earlier starts have lost no record of a turn that is still
   * kept: it has run for the whole retention period, or its earlier starts had stored all.
   */
  boolean isPastKnown() {
    return holders.hasNoEarlierLoss() || hasRunForRetention();
  }

  private boolean hasRunForRetention() {
    long limitMs = longestRetentionMs();
    return limitMs > 0 && clock.millis() - startedAtMs >= limitMs;
  }

  /** Returns a record that this VM has in memory. */
  Optional<HistoryRecord> findInMemory(String key) {
    return writer.find(key).or(() -> cache.find(key, clock.millis()));
  }

  /** Keeps a record in memory, from where it may be evicted. */
  void remember(HistoryRecord value) {
    cache.put(value);
  }

  /** Keeps the records of a reply in memory. */
  void remember(PeerMessage.HistoryReply reply) {
    for (PeerMessage.HistoryItem item : reply.records()) {
      decode(item).ifPresent(this::remember);
    }
  }

  private Optional<HistoryRecord> decode(PeerMessage.HistoryItem item) {
    try {
      return Optional.of(HistoryRecord.decode(item.key(), item.value()));
    } catch (MalformedRecordException e) {
      log.line("record_malformed")
          .put("topic", "peer")
          .put("problem", String.valueOf(e.getMessage()))
          .write();
      return Optional.empty();
    }
  }

  /** Replies to a request for records; never fails. */
  Future<PeerMessage> onRequest(PeerMessage.HistoryRequest request) {
    return answer(request.keys(), request.readsStore())
        .map(
            reply ->
                new PeerMessage.HistoryReply(
                    request.request(), reply.records(), reply.readToEnd(), reply.knowsPast()));
  }

  /** Returns the records that this VM has; never fails. */
  Future<PeerMessage.HistoryReply> answer(List<String> keys, boolean readsStore) {
    boolean allInMemory = keys.stream().allMatch(key -> findInMemory(key).isPresent());
    if (!readsStore) {
      return Future.succeededFuture(reply(keys, false, isPastKnown()));
    }
    // Earlier releases rely on this reply alone, so that it takes a long run of this VM.
    boolean knowsPast = firstStart || hasRunForRetention();
    if (allInMemory) {
      return Future.succeededFuture(reply(keys, false, knowsPast));
    }
    return peers
        .within(READ_LIMIT_MS, readPartitions(keys))
        .map(isComplete -> reply(keys, isComplete, knowsPast))
        .otherwise(e -> reply(keys, false, knowsPast));
  }

  private PeerMessage.HistoryReply reply(List<String> keys, boolean readToEnd, boolean knowsPast) {
    List<PeerMessage.HistoryItem> items = new ArrayList<>();
    long bytes = 0;
    for (String key : keys) {
      Optional<HistoryRecord> found = findInMemory(key);
      bytes += found.map(HistoryRecord::sizeBytes).orElse(0);
      if (found.isPresent() && bytes <= MAX_REPLY_BYTES) {
        items.add(TurnPeers.toItem(found.get()));
      }
    }
    return new PeerMessage.HistoryReply(0, items, readToEnd, knowsPast);
  }

  // Completes with whether the partitions hold no other records of the keys.
  private Future<Boolean> readPartitions(List<String> keys) {
    List<Future<Boolean>> found = new ArrayList<>();
    for (String key : keys) {
      if (findInMemory(key).isEmpty()) {
        TurnPartition partition = partition(partitionOf(key));
        found.add(
            partition
                .readToEnd()
                .compose(read -> partition.find(key))
                .map(record -> record.isPresent() || !partition.contains(key))
                .map(known -> known && partition.isComplete()));
      }
    }
    return Future.all(found).map(all -> all.<Boolean>list().stream().allMatch(known -> known));
  }

  private TurnPartition partition(int number) {
    return partitions.computeIfAbsent(number, n -> new TurnPartition(context, cache, writer, n));
  }

  /** Takes over a record of which this VM is a home. */
  PeerMessage onHandover(PeerMessage.HistoryHandover handover) {
    Optional<HistoryRecord> decoded = decode(handover.item());
    boolean held = false;
    if (decoded.isPresent()) {
      remember(decoded.get());
      long delayMs = handover.storesNow() ? 0 : homeDelayMs(decoded.get().key());
      held = hold(decoded.get(), delayMs);
      metrics.countTurn(held ? "held_for_peer" : "not_held_for_peer");
    }
    return new PeerMessage.HistoryHandoverReply(handover.request(), held);
  }

  private boolean hold(HistoryRecord value, long delayMs) {
    Future<Void> stored = writer.add(value, delayMs);
    return !stored.failed() && holders.isRegistered();
  }

  private long homeDelayMs(String key) {
    List<VmEntry> homes = peers.homes(partitionOf(key), 1);
    boolean isFirst = !homes.isEmpty() && peers.isSelf(homes.get(0));
    return isFirst ? FIRST_HOME_DELAY_MS : OTHER_HOME_DELAY_MS;
  }

  /**
   * Reads on in the partitions of which this VM is a home, appends records that are due, and
   * deletes expired ones. Does nothing while no route keeps its turns.
   */
  void maintain() {
    runs++;
    if (peers.isStopping()) {
      prepareStop();
    }
    writer.pump();
    if (longestRetentionMs() > 0 && !peers.isStopping()) {
      holders.register();
    }
    if (retentionMs() == 0) {
      return;
    }
    boolean deletes = runs % DELETE_RUNS == 0;
    if (deletes) {
      cache.removeExpired(clock.millis());
    }
    if (runs % READ_RUNS != 0) {
      return;
    }
    for (int number = 0; number < partitionCount; number++) {
      List<VmEntry> homes = peers.homes(number, HomeVms.COUNT);
      if (homes.stream().noneMatch(peers::isSelf)) {
        continue;
      }
      readOn(partition(number), deletes && peers.isSelf(homes.get(0)));
    }
  }

  // This VM is no home any more, so keeping a record hands it to the homes that remain.
  private void prepareStop() {
    writer.makeAllDue();
    if (!handedOver) {
      handedOver = true;
      writer.pendingRecords().forEach(keeper::keep);
    }
  }

  /**
   * Removes this VM from the holders if all its records are stored or held by other VMs. Called
   * once no request is left.
   */
  Future<Void> stop() {
    if (writer.pendingCount() > 0) {
      log.line("turns_left_unstored").put("records", writer.pendingCount()).write();
      return Future.succeededFuture();
    }
    return holders.deregister();
  }

  private void readOn(TurnPartition partition, boolean deletes) {
    boolean loads = !partition.isLoaded();
    if (loads && loading) {
      return;
    }
    loading |= loads;
    partition
        .readToEnd()
        .onComplete(
            read -> {
              loading &= !loads;
              if (read.succeeded() && deletes) {
                partition.deleteExpired(() -> writes.tryTake(writesPerS(), clock.millis()));
              }
            });
  }
}
