package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.history.CallBudget;
import io.magnoliaroute.core.gateway.history.HistoryRecord;
import io.magnoliaroute.core.gateway.history.KeptTurn;
import io.magnoliaroute.core.gateway.history.RecordCache;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.standin.users.StandinStore;
import io.magnoliaroute.standin.users.StandinStore.Fault;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * One partition with a stand-in store and a clock that the test advances. Guards against turns that
 * are lost or served too long in the store, and against a queue without a limit.
 */
@DisplayName("A partition of the kept turns")
class TurnPartitionTest {

  private static final long RETENTION_MS = 60_000;

  /** Room for a few records, so that the first ones are evicted. */
  private static final long SMALL_CACHE_BYTES = 10_000;

  private final Vertx vertx = TestRuntime.singleLoopVertx();
  private final StandinStore store = new StandinStore(vertx);
  private final AtomicLong nowMs = new AtomicLong(1_000_000);
  private final InstantSource clock = () -> Instant.ofEpochMilli(nowMs.get());
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final TurnContext context = createContext();
  private TurnWriter writer = createWriter(1_000);
  private final TurnPartition partition =
      new TurnPartition(context, new RecordCache(SMALL_CACHE_BYTES), writer, 0);

  @AfterEach
  void stop() {
    Await.result(vertx.close());
  }

  private TurnContext createContext() {
    int port = Await.result(store.start());
    DecisionLog log = new DecisionLog("vm-1", clock);
    StoreClient client =
        new StoreClient(vertx, new HostPort("127.0.0.1", port), (kind, outcome) -> {});
    return new TurnContext(vertx, client, new StoreHealth(clock, log), clock, log, metrics);
  }

  private TurnWriter createWriter(double callsPerS) {
    return new TurnWriter(context, 1, new CallBudget(), () -> callsPerS);
  }

  private KeptTurn turn(String id) {
    return new KeptTurn(
        id,
        Optional.empty(),
        List.of(),
        Optional.empty(),
        Bytes.copyOf(new byte[840]),
        Bytes.copyOf(new byte[1_610]),
        nowMs.get(),
        RETENTION_MS,
        "vm-1");
  }

  private <T> T await(Supplier<Future<T>> step) {
    return Await.result(TestRuntime.callOnContext(vertx, step).compose(future -> future));
  }

  // The clock advances, so that the write budget allows each call.
  private void append(HistoryRecord value) {
    nowMs.addAndGet(10);
    await(() -> writer.add(value, 0));
  }

  private Optional<HistoryRecord> find(String id) {
    return await(() -> partition.readToEnd().compose(read -> partition.find("t:" + id)));
  }

  /** Guards against records that are gone once they do not fit into memory. */
  @Test
  @DisplayName("reads an evicted record again from the store")
  void evicted() {
    KeptTurn first = turn("t0");
    append(first);
    for (int i = 1; i < 20; i++) {
      append(turn("t" + i));
    }

    assertEquals(Optional.of(first), find("t0"));
    assertEquals(Optional.empty(), find("t20"));
  }

  /** Guards against a home VM that finds nothing after the store has dropped its history. */
  @Test
  @DisplayName("lists the newest records when the store has dropped its history")
  void historyDropped() {
    for (int i = 0; i < 20; i++) {
      append(turn("t" + i));
    }
    assertTrue(find("t0").isPresent());
    for (int i = 20; i < 40; i++) {
      append(turn("t" + i));
    }
    store.dropHistory(TurnWriter.TOPIC, 0);

    assertTrue(find("t39").isPresent());
    assertTrue(find("t30").isPresent());
  }

  /** Guards against turns that stay in the store for ever. */
  @Test
  @DisplayName("appends tombstones for expired turns only")
  void tombstones() {
    append(turn("t0"));
    nowMs.addAndGet(RETENTION_MS);
    append(turn("t1"));
    nowMs.addAndGet(RETENTION_MS);
    assertFalse(find("t0").isPresent());
    TestRuntime.read(vertx, () -> deleteExpired());

    Await.until("a tombstone is appended", () -> store.recordCount(TurnWriter.TOPIC, 0) == 3);
    assertTrue(find("t1").isPresent());
    assertEquals(0, countOf("conflict"));
  }

  /** Guards against a tombstone for a turn that another VM has renewed since the last read. */
  @Test
  @DisplayName("does not delete a turn that was renewed after it was read")
  void renewedMeanwhile() {
    KeptTurn old = turn("t0");
    append(old);
    append(turn("t1"));
    find("t0");
    nowMs.addAndGet(2 * RETENTION_MS);
    append(old.renewed(nowMs.get()));
    TestRuntime.read(vertx, () -> deleteExpired());

    // The first call conflicts with the renewal; the second one deletes the other turn alone.
    Await.until("a tombstone is appended", () -> store.recordCount(TurnWriter.TOPIC, 0) == 4);
    assertTrue(find("t0").isPresent());
  }

  private boolean deleteExpired() {
    partition.deleteExpired(() -> true);
    return true;
  }

  private int countOf(String result) {
    return (int) metrics.registry().counterValue("kept_turns{result=\"" + result + "\"}");
  }

  /** Guards against a queue that fills the heap while the store is away: 5,000 turns, 14 MB. */
  @Test
  @DisplayName("holds a bounded number of records that are not stored")
  void queueIsBounded() {
    store.setFault(Fault.DOWN);
    int refused =
        TestRuntime.read(
            vertx,
            () -> {
              int failures = 0;
              for (int i = 0; i < 5_000; i++) {
                failures += writer.add(turn("t" + i), 0).failed() ? 1 : 0;
              }
              return failures;
            });

    assertTrue(refused > 1_500 && refused < 2_500, refused + " records were refused");
    assertEquals(refused, countOf("dropped"));
  }

  /** Guards against more writes than this VM's share: 260 turns at once, 4 calls in reserve. */
  @Test
  @DisplayName("appends many records with few calls when its share of the write rate is spent")
  void batches() {
    writer = createWriter(0);
    List<Future<Void>> stored =
        TestRuntime.read(
            vertx,
            () -> {
              List<Future<Void>> all = new ArrayList<>();
              for (int i = 0; i < 260; i++) {
                all.add(writer.add(turn("t" + i), 0));
              }
              return all;
            });

    Await.result(Future.all(stored));
    assertEquals(260, store.recordCount(TurnWriter.TOPIC, 0));
  }

  /** Guards against a record that two home VMs hold and that is lost when both end. */
  @Test
  @DisplayName("appends a record that the home VMs hold later, unless it is dropped")
  void leftToHomes() {
    store.setFault(Fault.DOWN);
    KeptTurn dropped = turn("t0");
    KeptTurn retained = turn("t1");
    TestRuntime.read(
        vertx,
        () -> {
          writer.add(dropped, 1_000);
          writer.add(retained, 1_000);
          writer.leaveToHomes(dropped.key(), true);
          writer.leaveToHomes(retained.key(), false);
          return true;
        });
    store.setFault(Fault.NONE);
    nowMs.addAndGet(5_000);
    TestRuntime.read(vertx, this::pump);
    assertEquals(1, TestRuntime.read(vertx, writer::pendingCount));
    assertEquals(0, store.recordCount(TurnWriter.TOPIC, 0));
    nowMs.addAndGet(10_000);
    TestRuntime.read(vertx, this::pump);
    Await.until("the record is stored", () -> store.recordCount(TurnWriter.TOPIC, 0) == 1);
  }

  private boolean pump() {
    writer.pump();
    return true;
  }
}
