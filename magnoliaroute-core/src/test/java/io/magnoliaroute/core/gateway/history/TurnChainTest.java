package io.magnoliaroute.core.gateway.history;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.RequestMetadata.PromptSegment;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Assembles chains like those of deployment S: up to 11 turns of 840 bytes of input and 10 events
 * of 160 bytes, the first one with a shared part of 12,600 bytes. Guards against bodies that differ
 * in any byte from what the clients sent and got.
 */
@DisplayName("A chain of turns")
class TurnChainTest {

  private static final long SEED = 20261206;
  private static final long RETENTION_MS = 60_000;

  private static KeptTurn turn(
      String id, List<String> ancestors, Optional<String> part, byte[] input, byte[] output) {
    return new KeptTurn(
        id,
        Optional.of("red"),
        ancestors,
        part,
        Bytes.copyOf(input),
        Bytes.copyOf(output),
        1_000,
        RETENTION_MS,
        "vm-1");
  }

  private static byte[] bytes(SplittableRandom random, int length) {
    byte[] content = new byte[length];
    random.nextBytes(content);
    return content;
  }

  /** Guards against lost, reordered or re-encoded bytes, also of inputs that are not text. */
  @Test
  @DisplayName("is assembled byte for byte from records that were encoded and decoded")
  void assemblesEveryByte() throws MalformedRecordException {
    System.out.println("seed " + SEED);
    SplittableRandom random = new SplittableRandom(SEED);
    Map<String, HistoryRecord> records = new HashMap<>();
    ByteArrayOutputStream expected = new ByteArrayOutputStream();
    Bytes shared = Bytes.copyOf(bytes(random, 12_600));
    SharedPart part = new SharedPart(HistoryKeys.ofPart(shared), shared, 1_000, RETENTION_MS);
    records.put(part.key(), HistoryRecord.decode(part.key(), part.encode()));
    expected.writeBytes(shared.toArray());
    List<String> ancestors = new ArrayList<>();
    KeptTurn newest = null;
    for (int i = 0; i < 10; i++) {
      byte[] input = bytes(random, 840);
      byte[] output = bytes(random, 1_610);
      expected.writeBytes(input);
      expected.writeBytes(output);
      Optional<String> sharedKey = i == 0 ? Optional.of(part.key()) : Optional.empty();
      KeptTurn kept = turn("t" + i, ancestors, sharedKey, input, output);
      newest = (KeptTurn) HistoryRecord.decode(kept.key(), kept.encode());
      records.put(kept.key(), newest);
      ancestors.add("t" + i);
    }
    byte[] newInput = bytes(random, 840);
    expected.writeBytes(newInput);

    TurnChain chain = TurnChain.collect(newest, key -> Optional.ofNullable(records.get(key)));

    assertArrayEquals(expected.toByteArray(), chain.assemble(newInput));
    assertEquals(expected.size() - 840, chain.sizeBytes());
  }

  /** Guards against a chain that is sent with a hole. */
  @Test
  @DisplayName("names the turns and the parts that are missing")
  void missingKeys() {
    KeptTurn first = turn("t0", List.of(), Optional.of("p:1"), new byte[1], new byte[1]);
    KeptTurn third = turn("t2", List.of("t0", "t1"), Optional.empty(), new byte[1], new byte[1]);

    assertEquals(third.ancestorKeys(), TurnChain.missingKeys(third, key -> Optional.empty()));
    assertEquals(
        List.of("p:1", third.ancestorKeys().get(1)),
        TurnChain.missingKeys(
            third, key -> key.equals(first.key()) ? Optional.of(first) : Optional.empty()));
  }

  /** Guards against keys by which a workspace reads or replaces turns of another one. */
  @Test
  @DisplayName("has keys that differ between workspaces and fit into the store")
  void keys() {
    assertNotEquals(
        HistoryKeys.ofTurn(Optional.of("a"), "bc"), HistoryKeys.ofTurn(Optional.of("ab"), "c"));
    assertNotEquals(
        HistoryKeys.ofTurn(Optional.empty(), "t"), HistoryKeys.ofTurn(Optional.of(""), "t"));
    String longId = "x".repeat(400);
    assertTrue(HistoryKeys.ofTurn(Optional.of("red"), longId).length() <= 255);
    assertNotEquals(
        HistoryKeys.ofTurn(Optional.of("red"), longId),
        HistoryKeys.ofTurn(Optional.of("red"), longId + "y"));
  }

  /** Guards against a record that is read under the key of another turn. */
  @Test
  @DisplayName("rejects a record whose turn does not match its key")
  void foreignKey() {
    KeptTurn kept = turn("t0", List.of(), Optional.empty(), new byte[1], new byte[1]);

    assertThrows(
        MalformedRecordException.class, () -> HistoryRecord.decode("t:other", kept.encode()));
  }

  /** Guards against ancestors that expire before the turns that continue them. */
  @Test
  @DisplayName("keeps ancestors as long as their youngest descendant")
  void renewal() {
    KeptTurn oldest = turn("t0", List.of(), Optional.empty(), new byte[1], new byte[1]);
    for (long endedMs = 1_000; endedMs < 500_000; endedMs += 10_000) {
      if (oldest.needsRenewal(endedMs)) {
        oldest = oldest.renewed(endedMs);
      }
      assertTrue(oldest.keptUntilMs() >= endedMs + RETENTION_MS, "descendant ended at " + endedMs);
    }
  }

  /** Guards against a shared part that expires before a turn that refers to it. */
  @Test
  @DisplayName("keeps a shared part as long as any turn that refers to it")
  void partOutlivesTurns() {
    SharedPart part = new SharedPart("p:1", Bytes.copyOf(new byte[1]), 0, RETENTION_MS);
    long lastReferenceMs = RETENTION_MS - 1;
    assertTrue(part.isFresh(lastReferenceMs));
    assertFalse(part.isFresh(RETENTION_MS));
    long turnKeptUntilMs = lastReferenceMs + KeptTurn.RETENTION_PERIODS * RETENTION_MS;
    assertTrue(part.keptUntilMs() >= turnKeptUntilMs);
  }

  /** Guards against splits in the middle of the own part, which would never be shared. */
  @Test
  @DisplayName("shares the bytes of all prompt segments but the last")
  void sharedBytes() {
    PromptSegment system = new PromptSegment("system", 12_600);
    PromptSegment own = new PromptSegment("own", 1_680);

    assertEquals(12_600, SharedPrefix.sharedBytes(14_280, List.of(system, own)));
    assertEquals(0, SharedPrefix.sharedBytes(14_280, List.of(own)));
    assertEquals(0, SharedPrefix.sharedBytes(14_280, List.of()));
    assertEquals(0, SharedPrefix.sharedBytes(500, List.of(system, own)));
    assertEquals(0, SharedPrefix.sharedBytes(500, List.of(new PromptSegment("a", 0), own)));
  }

  private static String dataOf(String events) {
    return new String(
        EventDataCollector.dataOf(events.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
  }

  /** Guards against outputs with field names, ids or comments, or without blank ones. */
  @Test
  @DisplayName("takes the values of the data lines of each event")
  void eventData() {
    assertEquals("a\n", dataOf("id: 1\ndata: a\n\n"));
    assertEquals("a\n b\n", dataOf("data:a\n\ndata:  b\n\n"));
    assertEquals("a\nb\n", dataOf("data: a\r\ndata: b\r\n\r\n"));
    assertEquals("\n", dataOf("data\n\n"));
    assertEquals("\n", dataOf("data:\n\n"));
    assertEquals("", dataOf(": comment\n\ndatabase: x\n\nid: 7\n\n"));
  }

  /** Guards against a resumed turn that lacks or repeats events. */
  @Test
  @DisplayName("continues the output of an interrupted turn after the event its client got last")
  void interruptedOutput() {
    TurnOutput output = new TurnOutput();
    output.add("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    output.add("id: 3\ndata: c\n\n".getBytes(StandardCharsets.UTF_8));
    InterruptedTurns interrupted = new InterruptedTurns();
    interrupted.put("t:1", output);

    TurnOutput resumed = interrupted.find("t:1", "2").orElseThrow();
    resumed.add("id: 3\ndata: d\n\n".getBytes(StandardCharsets.UTF_8));

    assertEquals("a\nb\nd\n", new String(resumed.toByteArray(), StandardCharsets.UTF_8));
    assertEquals("a\nb\nc\n", new String(output.toByteArray(), StandardCharsets.UTF_8));
    assertTrue(interrupted.find("t:1", "9").isEmpty());
    assertTrue(interrupted.find("t:2", "1").isEmpty());
  }
}
