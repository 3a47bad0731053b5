package io.magnoliaroute.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.BranchName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class ConfigSequencesTest {

  private static final long RETENTION_MS = 64_000;
  private static final int STEPS = 150;
  private static final int FAULT_FREE_STEPS = 60;
  private static final List<BranchName> BRANCHES =
      List.of(
          new BranchName("teams/a"),
          new BranchName("teams/b"),
          new BranchName("pools/p"),
          new BranchName("limits"));

  /**
   * Guards against a VM that reverts a branch, applies a conflicting or invalid publication, or
   * does not converge to the settings of the other VMs after the faults end (G10).
   */
  @Test
  void vmsConvergeToLogOrderWithoutReverting() {
    int sequences = Integer.getInteger("magnoliaroute.sequences", 2_000);
    int restartsPastRetention = 0;
    for (long seed = 1; seed <= sequences; seed++) {
      try {
        restartsPastRetention += new Sequence(seed).run();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
    System.out.println(
        "config sequences: " + sequences + ", reads past retention: " + restartsPastRetention);
    assertTrue(sequences < 100 || restartsPastRetention > 0, "no read started after offset 0");
  }

  private static final class Sequence {

    private final Random random;
    private final SimulatedLog<ConfigRecord> log;
    private final ConfigState reference = new ConfigState();
    private final Map<BranchName, Set<Long>> accepted = new HashMap<>();
    private final List<Vm> vms = new ArrayList<>();
    private final List<VmId> live = new ArrayList<>();
    private long nowMs = 1_000;
    private long nextOutageMs = 20_000;
    private int publications;
    private int referenceEnd;
    private int readsPastRetention;

    Sequence(long seed) {
      random = new Random(seed);
      log = new SimulatedLog<>(random, RETENTION_MS, RETENTION_MS / 6);
      int count = 2 + random.nextInt(4);
      for (int i = 0; i < count; i++) {
        live.add(new VmId("vm-" + i));
      }
      live.forEach(id -> vms.add(new Vm(id)));
    }

    int run() {
      for (int i = 0; i < STEPS; i++) {
        step(true);
      }
      for (int i = 0; i < FAULT_FREE_STEPS; i++) {
        step(false);
      }
      vms.forEach(vm -> vm.read(Integer.MAX_VALUE));
      vms.forEach(this::checkEqualsReference);
      return readsPastRetention;
    }

    private void step(boolean faults) {
      nowMs += random.nextInt(2_000);
      log.advanceTo(nowMs);
      readReference();
      for (Vm vm : vms) {
        if (faults) {
          vm.injectFault();
        }
        vm.read(faults ? random.nextInt(40) : 100);
        vm.appendSnapshots();
        checkInvariants(vm);
      }
      pushToRandomVm(faults);
      if (faults && random.nextInt(3) == 0) {
        publish();
      }
      if (faults && nowMs > nextOutageMs && random.nextInt(10) == 0) {
        log.startOutageUntil(nowMs + random.nextInt((int) RETENTION_MS / 8));
        nextOutageMs = nowMs + RETENTION_MS / 2;
      }
    }

    private void readReference() {
      for (int offset = referenceEnd; offset < log.endOffset(); offset++) {
        ConfigVerdict verdict = reference.apply(offset, log.get(offset));
        if (verdict.kind() == ConfigVerdict.Kind.ACCEPTED
            && log.get(offset) instanceof ConfigRecord.Published published) {
          accepted.computeIfAbsent(published.branch(), b -> new HashSet<>()).add((long) offset);
        }
      }
      referenceEnd = log.endOffset();
    }

    private void publish() {
      BranchName branch = BRANCHES.get(random.nextInt(BRANCHES.size()));
      int publishers = 1 + random.nextInt(2);
      for (int i = 0; i < publishers; i++) {
        Vm vm = vms.get(random.nextInt(vms.size()));
        long base = vm.state.branch(branch).map(BranchEntry::version).orElse(-1L);
        publications++;
        log.append(
            new ConfigRecord.Published(
                "r" + publications, branch, base, content(branch), "op" + i, nowMs));
      }
    }

    private Optional<String> content(BranchName branch) {
      if (random.nextInt(8) == 0) {
        return Optional.empty();
      }
      if (random.nextInt(8) == 0) {
        return Optional.of("unknown: " + publications);
      }
      return Optional.of(
          switch (branch.kind()) {
            case TEAM ->
                ConfigStateTest.team(1 + publications)
                    + (random.nextBoolean() ? "tool_rules: [{service: p, operations: [x]}]\n" : "");
            case POOL -> "kind: service\nnon_idempotent_operations: [x" + publications + "]\n";
            case LIMITS -> "unlogged_turns: " + publications + "\n";
            default -> throw new IllegalStateException();
          });
    }

    private void pushToRandomVm(boolean faults) {
      Vm receiver = vms.get(random.nextInt(vms.size()));
      Vm sender = vms.get(random.nextInt(vms.size()));
      boolean lost = faults && random.nextInt(3) == 0;
      if (receiver == sender || lost) {
        return;
      }
      ConfigExchange.pullIfBehind(receiver.state, sender.state.version())
          .map(pull -> ConfigExchange.pushFor(sender.state, pull, 200 + random.nextInt(2_000)))
          .ifPresent(
              push -> {
                receiver.state.applyPush(push);
                if (random.nextInt(4) == 0) {
                  receiver.state.applyPush(push);
                }
              });
    }

    private void checkInvariants(Vm vm) {
      for (BranchEntry entry : vm.state.branches()) {
        long before = vm.observedVersions.getOrDefault(entry.branch(), -1L);
        assertTrue(entry.version() >= before, () -> vm.id + " reverted " + entry.branch());
        assertTrue(
            accepted.getOrDefault(entry.branch(), Set.of()).contains(entry.version()),
            () -> vm.id + " has unaccepted version " + entry.version() + " of " + entry.branch());
        vm.observedVersions.put(entry.branch(), entry.version());
      }
      assertTrue(
          vm.state.branches().size() >= vm.observedVersions.size(), () -> vm.id + " lost a branch");
    }

    private void checkEqualsReference(Vm vm) {
      for (BranchEntry entry : reference.branches()) {
        Optional<BranchEntry> own = vm.state.branch(entry.branch());
        assertEquals(
            Optional.of(entry.version()), own.map(BranchEntry::version), vm.id + ": " + entry);
        assertEquals(entry.content(), own.orElseThrow().content());
      }
      assertEquals(reference.effectiveSettings(), vm.state.effectiveSettings());
    }

    private final class Vm {

      private final VmId id;
      private final Map<BranchName, Long> observedVersions = new HashMap<>();
      private ConfigState state = new ConfigState();
      private ConfigSnapshotter snapshotter;
      private int incarnation;
      private int position;
      private long disconnectedUntilMs;

      Vm(VmId id) {
        this.id = id;
        start();
      }

      private void start() {
        incarnation++;
        state = new ConfigState();
        observedVersions.clear();
        snapshotter =
            new ConfigSnapshotter(new SnapshotSchedule(id, RETENTION_MS), id + "/" + incarnation);
        beginReading();
      }

      private void beginReading() {
        position = log.firstRetainedOffset();
        state.startReadingFrom(position);
        readsPastRetention += position > 0 ? 1 : 0;
      }

      void injectFault() {
        if (random.nextInt(60) == 0) {
          start();
        }
        // The first VM is never disconnected from the log, so that snapshots are written in time.
        if (id.equals(live.get(0)) || nowMs < disconnectedUntilMs || random.nextInt(40) != 0) {
          return;
        }
        disconnectedUntilMs = nowMs + random.nextInt((int) RETENTION_MS * 3 / 2);
      }

      void read(int maxRecords) {
        if (log.isUnavailable() || nowMs < disconnectedUntilMs) {
          return;
        }
        if (position < log.firstRetainedOffset()) {
          beginReading();
        }
        int end = (int) Math.min(log.endOffset(), position + (long) maxRecords);
        while (position < end) {
          state.apply(position, log.get(position));
          position++;
        }
        if (position == log.endOffset()) {
          state.markCaughtUp();
        }
      }

      void appendSnapshots() {
        if (nowMs >= disconnectedUntilMs && !log.isUnavailable() && position == log.endOffset()) {
          snapshotter.poll(state, live, nowMs).forEach(log::append);
        }
      }
    }
  }
}
