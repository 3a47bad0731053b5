package io.magnoliaroute.core.action;

import java.util.ArrayList;
import java.util.List;

/**
 * One seeded sequence of VMs, callers, a log and a service: a phase with injected faults, followed
 * by a phase without new faults.
 */
final class SequenceRun {

  private static final int VMS = 3;
  private static final int CALLERS = 2;
  private static final long FAULT_PHASE_MS = 9_000;
  private static final long FAULT_FREE_PHASE_MS = 8_000;

  final VirtualTime time;
  final FakeLog log;
  final FakeService service;
  final boolean pausesBeforeSend;
  final List<SimCaller> callers = new ArrayList<>();
  final List<SimVm> vms = new ArrayList<>();
  private final long[] incarnations = new long[VMS];
  private boolean faultsEnded;

  SequenceRun(long seed) {
    time = new VirtualTime(seed);
    log = new FakeLog(time, SimVm.RETENTION_MS);
    service =
        new FakeService(
            time, new ServiceCapabilities(time.randomBoolean(0.5), time.randomBoolean(0.6)));
    pausesBeforeSend = time.randomBoolean(0.5);
    for (int i = 0; i < VMS; i++) {
      vms.add(new SimVm(i, incarnations[i], this, pausesBeforeSend));
    }
    for (int i = 0; i < CALLERS; i++) {
      callers.add(new SimCaller(i, this));
    }
  }

  void run() {
    reassignOwnershipRepeatedly();
    time.schedule(200, this::injectFault);
    time.runUntil(FAULT_PHASE_MS);
    faultsEnded = true;
    log.endFaults();
    restartCrashed();
    reassignOwnership();
    time.runUntil(FAULT_PHASE_MS + FAULT_FREE_PHASE_MS);
  }

  boolean faultsEnabled() {
    return !faultsEnded;
  }

  /** Returns whether callers may still repeat requests; the last requests need time to finish. */
  boolean acceptsRequests() {
    return time.nowMs() < FAULT_PHASE_MS + FAULT_FREE_PHASE_MS / 2;
  }

  /**
   * Returns a random VM. With a probability of 80%, it is one that considers itself the owner, if
   * there is any.
   */
  SimVm selectVm() {
    List<SimVm> owners = vms.stream().filter(SimVm::isOwner).toList();
    boolean routeToOwner = !owners.isEmpty() && time.randomBoolean(0.8);
    return routeToOwner
        ? owners.get(time.randomIndex(owners.size()))
        : vms.get(time.randomIndex(VMS));
  }

  /**
   * Assigns the partition to one VM, or temporarily to two, which occurs when VMs have different
   * views of the membership.
   */
  void reassignOwnership() {
    int first = time.randomIndex(VMS);
    int second = time.randomBoolean(0.3) ? time.randomIndex(VMS) : first;
    for (int i = 0; i < VMS; i++) {
      vms.get(i).setWantsOwnership(i == first || (i == second && !faultsEnded));
    }
  }

  private void reassignOwnershipRepeatedly() {
    reassignOwnership();
    if (!faultsEnded) {
      time.schedule(time.randomBetween(500, 5_000), this::reassignOwnershipRepeatedly);
    }
  }

  private void injectFault() {
    int target = time.randomIndex(VMS);
    double kind = time.randomIndex(100) / 100.0;
    if (faultsEnded) {
      return;
    }
    if (kind < 0.15) {
      vms.get(target).crash();
    } else if (kind < 0.35) {
      vms.get(target).pause(time.randomBetween(50, 2_500));
    } else if (kind < 0.45) {
      log.startOutage(time.randomBetween(100, 1_500));
    }
    restartCrashed();
    time.schedule(time.randomBetween(100, 900), this::injectFault);
  }

  private void restartCrashed() {
    for (int i = 0; i < VMS; i++) {
      if (vms.get(i).hasCrashed()) {
        incarnations[i]++;
        vms.set(i, new SimVm(i, incarnations[i], this, pausesBeforeSend));
      }
    }
  }
}
