package io.magnoliaroute.core.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against shares that two sides of a partition issue both, and shares that none does. */
@DisplayName("The share that a VM may issue")
class VmReachabilityTest {

  private static final int VMS = 12;

  private final VmReachability reachability = new VmReachability(new VmId("vm-0"), "dc0");
  private final List<VmEntry> entries = new ArrayList<>();

  @BeforeEach
  void start() {
    for (int i = 0; i < VMS; i++) {
      HostPort address = new HostPort("10.0.0.1", 1_000 + i);
      entries.add(new VmEntry(new VmId("vm-" + i), address, "dc" + i % 3, 2, 1));
    }
    reachability.setMembers(entries, 0);
    reachability.setMode(VmReachability.Mode.ALL, 0);
  }

  /** Runs the queries of a time in which only some VMs reply. */
  private void run(long fromMs, long toMs, Predicate<VmEntry> replies) {
    for (long atMs = fromMs; atMs < toMs; atMs += 100) {
      reachability.share(atMs);
      List<VmId> queried = reachability.queriesDue(atMs);
      for (VmEntry entry : entries) {
        if (queried.contains(entry.vm()) && replies.test(entry)) {
          reachability.recordHeard(entry.vm(), atMs);
        }
      }
    }
  }

  @Test
  @DisplayName("falls when a data centre has been silent for less than the quiet time")
  void dataCentreCutOff() {
    run(0, 5_000, vm -> true);
    assertEquals(1, reachability.share(5_000));
    run(5_000, 5_000 + WorkspacePermitIssuer.QUIET_MS, vm -> !vm.dataCentre().equals("dc1"));
    assertEquals(8.0 / 12, reachability.share(5_000 + WorkspacePermitIssuer.QUIET_MS));
  }

  @Test
  @DisplayName("does not fall for the processes that have ended, which issue nothing")
  void endedProcesses() {
    run(0, 5_000, vm -> true);
    reachability.recordEnded(new VmId("vm-5"));
    run(5_000, 10_000, vm -> !vm.vm().equals(new VmId("vm-5")));
    assertEquals(1, reachability.share(10_000));
    assertTrue(reachability.isKnownToAll(10_000));
  }

  @Test
  @DisplayName("is the VM's own while it is cut off, and counts the others soon after they reply")
  void isolated() {
    run(0, 5_000, vm -> true);
    run(5_000, 8_000, vm -> false);
    assertTrue(reachability.isIsolated(8_000));
    assertEquals(1.0 / 12, reachability.share(8_000));
    run(8_000, 10_000, vm -> true);
    assertEquals(1, reachability.share(10_000));
  }

  @Test
  @DisplayName("ends on the side of a minority before the others no longer count it")
  void replacedVm() {
    assertTrue(VmReachability.MINORITY_LIMIT_MS < VmReachability.FORGET_MS);
    run(0, 5_000, vm -> true);
    run(5_000, 80_000, vm -> !vm.vm().equals(new VmId("vm-5")));
    assertEquals(11.0 / 12, reachability.share(80_000));
    run(80_000, 100_000, vm -> !vm.vm().equals(new VmId("vm-5")));
    assertEquals(1, reachability.share(100_000));
  }

  @Test
  @DisplayName("is nothing after a minute without most of the own data centre")
  void longIsolation() {
    run(0, 5_000, vm -> true);
    run(5_000, 70_000, vm -> false);
    assertEquals(0, reachability.share(70_000));
  }

  @Test
  @DisplayName("counts a data centre that is gone for ever, as its VMs may go on")
  void lostDataCentre() {
    run(0, 5_000, vm -> true);
    run(5_000, 200_000, vm -> !vm.dataCentre().equals("dc2"));
    assertEquals(8.0 / 12, reachability.share(200_000));
    assertFalse(reachability.isReachable(new VmId("vm-2"), 200_000));
  }
}
