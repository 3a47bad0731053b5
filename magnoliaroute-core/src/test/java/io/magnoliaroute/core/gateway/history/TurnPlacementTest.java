package io.magnoliaroute.core.gateway.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Places the turns of deployment S: 260 turns/s in 24 partitions over 136 VMs in three data
 * centres.
 */
@DisplayName("The places of kept turns")
class TurnPlacementTest {

  private static final int PARTITIONS = 24;
  private static final long RETENTION_MS = 60_000;

  private static List<VmEntry> vms(int count, int dataCentres, int protocol) {
    List<VmEntry> vms = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      vms.add(
          new VmEntry(
              new VmId("vm-" + i),
              new HostPort("10.0.0.1", 1_000 + i),
              "dc" + i % dataCentres,
              protocol,
              1));
    }
    return vms;
  }

  private static KeptTurn turn(String id, long endedAtMs) {
    return new KeptTurn(
        id,
        Optional.empty(),
        List.of(),
        Optional.empty(),
        Bytes.copyOf(new byte[840]),
        Bytes.copyOf(new byte[1_610]),
        endedAtMs,
        RETENTION_MS,
        "vm-1");
  }

  /** Guards against records that are lost with a data centre. */
  @Test
  @DisplayName("are home VMs in two data centres, spread over the VMs")
  void homes() {
    Set<VmId> first = new HashSet<>();
    for (int partition = 0; partition < PARTITIONS; partition++) {
      List<VmEntry> ranked = HomeVms.ranked(partition, vms(136, 3, 2));
      assertEquals(136, new HashSet<>(ranked).size());
      assertNotEquals(ranked.get(0).dataCentre(), ranked.get(1).dataCentre());
      first.add(ranked.get(0).vm());
    }
    assertTrue(first.size() >= 18, "24 partitions are at " + first.size() + " VMs");
  }

  /** Guards against messages to VMs that close the connection at them. */
  @Test
  @DisplayName("are never VMs of an earlier build")
  void oldVms() {
    assertEquals(List.of(), HomeVms.ranked(0, vms(136, 3, 1)));
    assertEquals(3, HomeVms.ranked(0, vms(3, 1, 2)).size());
  }

  /** Guards against partitions that get several times the mean load. */
  @Test
  @DisplayName("are partitions with similar numbers of turns")
  void partitions() {
    int[] counts = new int[PARTITIONS];
    int turns = 260 * 60;
    for (int i = 0; i < turns; i++) {
      counts[
          HistoryKeys.partitionOf(HistoryKeys.ofTurn(Optional.of("red"), "t" + i), PARTITIONS)]++;
    }
    for (int count : counts) {
      assertTrue(count < 1.3 * turns / PARTITIONS, "a partition has " + count + " turns");
    }
  }

  /** Guards against a cache that grows beyond its limit under 260 turns/s. */
  @Test
  @DisplayName("include a memory that evicts what was used least recently")
  void cacheIsBounded() {
    RecordCache cache = new RecordCache(1_000_000);
    for (int i = 0; i < 260 * 60; i++) {
      cache.put(turn("t" + i, 1_000));
      assertTrue(cache.find("t:t0", 1_000).isPresent(), "used in each round");
      assertTrue(cache.usedBytes() <= 1_000_000);
    }
    assertTrue(cache.find("t:t1", 1_000).isEmpty());
  }

  /** Guards against expired turns that are still served, and renewed ones that are not. */
  @Test
  @DisplayName("forget turns two retention periods after their end, unless they are renewed")
  void cacheExpires() {
    RecordCache cache = new RecordCache(1_000_000);
    KeptTurn kept = turn("t0", 1_000);
    cache.put(kept);
    assertTrue(cache.find(kept.key(), 1_000 + 2 * RETENTION_MS - 1).isPresent());
    assertTrue(cache.find(kept.key(), 1_000 + 2 * RETENTION_MS).isEmpty());
    cache.put(kept.renewed(61_000));
    cache.put(kept);
    assertTrue(cache.find(kept.key(), 1_000 + 2 * RETENTION_MS).isPresent());
    assertEquals(1, cache.removeExpired(61_000 + 2 * RETENTION_MS));
    assertEquals(0, cache.usedBytes());
  }

  /** Guards against tombstones for turns that are still kept, and turns that are never deleted. */
  @Test
  @DisplayName("list the expired keys of a partition")
  void indexExpires() {
    PartitionIndex index = new PartitionIndex(10);
    index.beginListing();
    index.recordReadUpTo(0);
    index.add("a", 0, 100);
    index.add("b", 1, 200);
    index.add("a", 2, 300);
    assertEquals(List.of("b"), index.expiredKeys(200, 10));
    assertEquals(2, index.offsetOf("a", 200).orElseThrow());
    assertTrue(index.offsetOf("b", 200).isEmpty());
    index.remove("b");
    assertEquals(List.of(), index.expiredKeys(200, 10));
  }

  /** Guards against a proof of absence from an index that has forgotten keys. */
  @Test
  @DisplayName("prove nothing once the index of a partition has exceeded its limit")
  void indexIsBounded() {
    PartitionIndex index = new PartitionIndex(2);
    assertFalse(index.isComplete());
    index.recordReadUpTo(0);
    assertTrue(index.isComplete());
    index.add("a", 0, 100);
    index.add("b", 1, 100);
    index.add("c", 2, 100);
    assertEquals(2, index.size());
    assertFalse(index.isComplete());
  }

  /** Guards against a 404 while any VM that may hold the turn has not replied or has forgotten. */
  @Test
  @DisplayName("prove an absence only if the store was read and all VMs replied and forgot nothing")
  void absence() {
    assertTrue(new AbsenceProof(true, true, 135, 135, 135).isComplete());
    assertFalse(new AbsenceProof(true, true, 135, 134, 134).isComplete());
    assertFalse(new AbsenceProof(true, true, 135, 135, 134).isComplete());
    assertFalse(new AbsenceProof(false, true, 135, 135, 135).isComplete());
    assertFalse(new AbsenceProof(true, false, 135, 135, 135).isComplete());
  }

  /** Guards against more than a quarter of the store's writes: 2,000/s over 136 VMs. */
  @Test
  @DisplayName("are written within this VM's share of the store's write rate")
  void writeRate() {
    double callsPerS = 0.25 * 2_000 / 136;
    CallBudget budget = new CallBudget();
    int calls = 0;
    for (long nowMs = 0; nowMs < 100_000; nowMs += 10) {
      calls += budget.tryTake(callsPerS, nowMs) ? 1 : 0;
    }
    assertTrue(calls <= callsPerS * 100 + 8, calls + " calls in 100 s");
    assertTrue(calls >= callsPerS * 100 - 8, calls + " calls in 100 s");
  }
}
