package io.magnoliaroute.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.config.ConfigVerdict.Kind;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.BranchName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ConfigStateTest {

  private static final BranchName ALPHA = new BranchName("teams/alpha");
  private static final BranchName ORDERS = new BranchName("pools/orders");
  private static final TeamId TEAM = new TeamId("alpha");

  private final ConfigState state = new ConfigState();

  static String team(int share) {
    return "share: " + share + "\nbudget: {units_per_period: 9, period_ms: 60000}\n";
  }

  static ConfigRecord.Published publish(String id, BranchName branch, long base, String yaml) {
    return new ConfigRecord.Published(id, branch, base, Optional.ofNullable(yaml), "op", 1_000);
  }

  private static void assertVerdict(Kind kind, long version, ConfigVerdict verdict) {
    assertEquals(kind, verdict.kind(), verdict::toString);
    assertEquals(version, verdict.version());
  }

  private int share(ConfigState config) {
    return config.effectiveSettings().teams().get(TEAM).share();
  }

  @Nested
  final class ConcurrentPublications {

    /** Guards against a publication that overwrites a version unknown to its author. */
    @Test
    void firstPublicationInLogOrderWins() {
      assertVerdict(Kind.ACCEPTED, 4, state.apply(4, publish("a", ALPHA, -1, team(1))));
      assertVerdict(Kind.ACCEPTED, 5, state.apply(5, publish("b", ALPHA, 4, team(2))));
      assertVerdict(Kind.CONFLICT, 5, state.apply(6, publish("c", ALPHA, 4, team(3))));
      assertEquals(2, share(state));
      assertEquals(5, state.version());
    }

    /** Guards against a retried append that is reported as a conflict with itself. */
    @Test
    void duplicateAppendIsAppliedOnce() {
      state.apply(4, publish("a", ALPHA, -1, team(1)));
      assertVerdict(Kind.DUPLICATE, 4, state.apply(5, publish("a", ALPHA, -1, team(1))));
      state.apply(6, publish("b", ALPHA, 4, team(2)));
      assertVerdict(Kind.DUPLICATE, 4, state.apply(7, publish("a", ALPHA, -1, team(1))));
      assertEquals(2, share(state));
    }

    /** Guards against a late publication that restores a deleted branch. */
    @Test
    void deletedBranchIsRecreatedOnlyFromItsDeletion() {
      state.apply(4, publish("a", ALPHA, -1, team(1)));
      assertVerdict(Kind.ACCEPTED, 5, state.apply(5, publish("b", ALPHA, 4, null)));
      assertTrue(state.effectiveSettings().teams().isEmpty());
      assertVerdict(Kind.CONFLICT, 5, state.apply(6, publish("c", ALPHA, -1, team(3))));
      assertVerdict(Kind.CONFLICT, 5, state.apply(7, publish("d", ALPHA, 4, team(3))));
      assertVerdict(Kind.ACCEPTED, 8, state.apply(8, publish("e", ALPHA, 5, team(3))));
    }
  }

  @Nested
  final class InvalidContent {

    /** Guards against invalid content that replaces the effective version. */
    @Test
    void invalidContentKeepsPreviousVersion() {
      state.apply(1, publish("a", ALPHA, -1, team(1)));
      ConfigVerdict verdict = state.apply(2, publish("b", ALPHA, 1, "share: 0\nx: 1\n"));
      assertVerdict(Kind.INVALID, 1, verdict);
      assertEquals(3, verdict.findings().stream().filter(f -> f.isError()).count());
      assertEquals(1, share(state));
    }

    /** Guards against deleting a service pool, or making it a model pool, while a team uses it. */
    @Test
    void poolInUseRemainsServicePool() {
      String rule = "tool_rules: [{service: orders, operations: [pay]}]\n";
      assertVerdict(Kind.INVALID, -1, state.apply(1, publish("a", ALPHA, -1, team(1) + rule)));
      state.apply(2, publish("b", ORDERS, -1, "kind: service"));
      assertVerdict(Kind.ACCEPTED, 3, state.apply(3, publish("c", ALPHA, -1, team(1) + rule)));
      assertVerdict(Kind.INVALID, 2, state.apply(4, publish("d", ORDERS, 2, null)));
      String model = "kind: model\nmodels: [m]\n";
      assertVerdict(Kind.INVALID, 2, state.apply(5, publish("e", ORDERS, 2, model)));
    }
  }

  @Nested
  final class Restarts {

    private final List<ConfigRecord> log = new ArrayList<>();

    private ConfigState readFrom(int firstOffset) {
      ConfigState reader = new ConfigState();
      reader.startReadingFrom(firstOffset);
      for (int offset = firstOffset; offset < log.size(); offset++) {
        reader.apply(offset, log.get(offset));
      }
      reader.markCaughtUp();
      return reader;
    }

    private ConfigRecord snapshotOf(int records) {
      ConfigState past = new ConfigState();
      for (int offset = 0; offset < records; offset++) {
        past.apply(offset, log.get(offset));
      }
      return new ConfigRecord.Snapshot("s" + records, 2_000, records - 1, past.branches());
    }

    /** Guards against a snapshot that is appended late and reverts a branch to old content. */
    @Test
    void lateSnapshotDoesNotRevertBranch() {
      log.add(publish("a", ALPHA, -1, team(1)));
      log.add(publish("b", ALPHA, 0, team(2)));
      log.add(snapshotOf(1));
      ConfigState reader = new ConfigState();
      for (int offset = 0; offset < log.size(); offset++) {
        reader.apply(offset, log.get(offset));
      }
      assertEquals(2, share(reader));
      assertEquals(2, share(readFrom(0)));
      assertEquals(2, share(readFrom(1)));
    }

    /** Guards against a change rejected because the snapshot of its base version is read later. */
    @Test
    void changeReadBeforeSnapshotOfItsBaseIsAccepted() {
      log.add(publish("a", ALPHA, -1, team(1)));
      log.add(publish("x", ORDERS, -1, "kind: service"));
      log.add(publish("b", ALPHA, 0, team(2)));
      log.add(snapshotOf(2));
      log.add(publish("c", ALPHA, 2, team(3)));
      for (int first = 0; first <= 2; first++) {
        assertEquals(3, share(readFrom(first)), "first offset " + first);
        assertEquals(4, readFrom(first).version());
      }
    }

    /** Guards against a reader that lacks older records and accepts a conflicting publication. */
    @Test
    void conflictingPublicationIsRejectedAfterRestart() {
      log.add(publish("a", ALPHA, -1, team(1)));
      log.add(publish("late", ALPHA, -1, team(7)));
      log.add(snapshotOf(2));
      assertEquals(1, share(readFrom(1)));
    }

    /** Guards against settings that revert when a VM rereads the log after a pause. */
    @Test
    void rereadingKeepsEffectiveSettings() {
      state.apply(0, publish("a", ALPHA, -1, team(1)));
      state.apply(1, publish("b", ALPHA, 0, team(2)));
      state.startReadingFrom(1);
      assertEquals(2, share(state));
      assertEquals(Kind.DEFERRED, state.apply(1, publish("b", ALPHA, 0, team(2))).kind());
      state.markCaughtUp();
      assertEquals(2, share(state));
      assertVerdict(Kind.ACCEPTED, 2, state.apply(2, publish("c", ALPHA, 1, team(3))));
    }
  }

  @Nested
  final class Peers {

    private final ConfigState other = new ConfigState();

    /** Guards against a peer that treats a partial push as complete. */
    @Test
    void boundedPushesContinueUntilVersionsAreEqual() {
      for (int i = 0; i < 20; i++) {
        state.apply(i, publish("r" + i, new BranchName("teams/t" + i), -1, team(1)));
      }
      Optional<ConfigPull> pull = ConfigExchange.pullIfBehind(other, state.version());
      int pushes = 0;
      while (pull.isPresent()) {
        ConfigPush push = ConfigExchange.pushFor(state, pull.get(), 500);
        other.applyPush(push);
        pushes++;
        pull = ConfigExchange.nextPull(push);
      }
      assertTrue(pushes > 2, "pushes: " + pushes);
      assertEquals(20, other.effectiveSettings().teams().size());
      assertEquals(Optional.empty(), ConfigExchange.pullIfBehind(other, state.version()));
    }

    /** Guards against an old push that reverts a branch, and a lost push that hides a gap. */
    @Test
    void outOfOrderPushesDoNotRevertBranches() {
      state.apply(0, publish("a", ALPHA, -1, team(1)));
      ConfigPush old = ConfigExchange.pushFor(state, new ConfigPull(-1), 10_000);
      state.apply(1, publish("b", ALPHA, 0, team(2)));
      state.apply(2, publish("c", ORDERS, -1, "kind: service"));
      ConfigPush newest = ConfigExchange.pushFor(state, new ConfigPull(1), 10_000);
      other.applyPush(newest);
      assertEquals(-1, other.version());
      other.applyPush(ConfigExchange.pushFor(state, new ConfigPull(-1), 10_000));
      assertEquals(2, other.version());
      assertEquals(Set.of(), other.applyPush(old));
      assertEquals(2, share(other));
    }

    /** Guards against older log records that revert newer entries received from peers. */
    @Test
    void olderLogRecordsDoNotRevertPeerEntries() {
      state.apply(0, publish("a", ALPHA, -1, team(1)));
      state.apply(1, publish("b", ALPHA, 0, team(2)));
      other.applyPush(ConfigExchange.pushFor(state, new ConfigPull(-1), 10_000));
      assertVerdict(Kind.ACCEPTED, 0, other.apply(0, publish("a", ALPHA, -1, team(1))));
      assertEquals(2, share(other));
      assertEquals(2, other.branch(ALPHA).orElseThrow().history().size());
    }
  }

  @Nested
  final class Snapshots {

    private static final long RETENTION_MS = 64_000;

    /** Guards against a branch with snapshots by several VMs, or by none before it expires. */
    @Test
    void oneVmWritesSnapshotBeforeHalfOfRetention() {
      List<VmId> live = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        live.add(new VmId("vm-" + i));
      }
      List<ConfigSnapshotter> vms =
          live.stream()
              .map(vm -> new SnapshotSchedule(vm, RETENTION_MS))
              .map(schedule -> new ConfigSnapshotter(schedule, schedule.self() + "/1"))
              .toList();
      state.apply(0, publish("a", ALPHA, -1, team(1)));
      int written = 0;
      for (long nowMs = 1_000; nowMs < 1_000 + RETENTION_MS / 2; nowMs += 500) {
        for (ConfigSnapshotter vm : vms) {
          for (ConfigRecord snapshot : vm.poll(state, live, nowMs)) {
            written++;
            state.apply(written, snapshot);
          }
        }
      }
      assertEquals(1, written);
      assertEquals(0, state.version());
    }

    /** Guards against a branch that expires because the VMs of the first ranks are not running. */
    @Test
    void laterRanksActWhenEarlierRanksDoNot() {
      VmId self = new VmId("vm-0");
      List<VmId> live = new ArrayList<>(List.of(self));
      for (int i = 1; i < 40; i++) {
        live.add(new VmId("vm-" + i));
      }
      SnapshotSchedule schedule = new SnapshotSchedule(self, RETENTION_MS);
      for (int i = 0; i < 50; i++) {
        assertTrue(schedule.isDue("branch" + i, 0, live, RETENTION_MS / 2 - 1));
        assertFalse(schedule.isDue("branch" + i, 0, live, RETENTION_MS / 4 - 1));
      }
    }
  }

  @Nested
  final class Codec {

    /** Guards against fields that are swapped or lost when records and messages are encoded. */
    @Test
    void recordsAndPayloadsRoundTrip() throws ConfigFormatException {
      ConfigRecord published = publish("a/1", ALPHA, -1, team(1));
      ConfigRecord deleted = publish("a/2", ALPHA, 0, null);
      state.apply(0, published);
      state.apply(1, deleted);
      ConfigRecord snapshot = new ConfigRecord.Snapshot("s", 5, 1, state.branches());
      for (ConfigRecord original : List.of(published, deleted, snapshot)) {
        assertEquals(original, ConfigCodec.decode(ConfigCodec.encode(original)));
      }
      ConfigPush push = ConfigExchange.pushFor(state, new ConfigPull(-1), 100);
      assertEquals(push, ConfigCodec.decodePush(ConfigCodec.encodePush(push)));
      ConfigPull pull = new ConfigPull(7);
      assertEquals(pull, ConfigCodec.decodePull(ConfigCodec.encodePull(pull)));
    }

    /** Guards against a truncated record that causes an unchecked exception. */
    @Test
    void truncatedPayloadsAreMalformed() {
      byte[] encoded = ConfigCodec.encode(publish("a/1", ALPHA, -1, team(1))).toArray();
      for (int length = 0; length < encoded.length; length++) {
        Bytes truncated = Bytes.copyOf(java.util.Arrays.copyOf(encoded, length));
        assertThrows(ConfigFormatException.class, () -> ConfigCodec.decode(truncated));
      }
    }
  }
}
