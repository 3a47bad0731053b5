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
  private static final long CHAOS_MS = 9_000;
  private static final long QUIET_MS = 8_000;

  final VirtualTime time;
  final FakeLog log;
  final FakeService service;
  final boolean pausesBeforeSend;
  final List<SimCaller> callers = new ArrayList<>();
  final List<SimVm> vms = new ArrayList<>();
  private final long[] incarnations = new long[VMS];
  private boolean healed;

  SequenceRun(long seed) {
    time = new VirtualTime(seed);
    log = new FakeLog(time, SimVm.RETENTION_MS);
    service = new FakeService(time, new ServiceTraits(time.chance(0.5), time.chance(0.6)));
    pausesBeforeSend = time.chance(0.5);
    for (int i = 0; i < VMS; i++) {
      vms.add(new SimVm(i, incarnations[i], this, pausesBeforeSend));
    }
    for (int i = 0; i < CALLERS; i++) {
      callers.add(new SimCaller(i, this));
    }
  }

  void run() {
    moveOwnershipRepeatedly();
    time.in(200, this::disturb);
    time.runUntil(CHAOS_MS);
    healed = true;
    log.heal();
    restartCrashed();
    moveOwnership();
    time.runUntil(CHAOS_MS + QUIET_MS);
  }

  boolean chaotic() {
    return !healed;
  }

  /** Returns whether callers may still repeat requests; the last requests need time to finish. */
  boolean acceptsRequests() {
    return time.nowMs() < CHAOS_MS + QUIET_MS / 2;
  }

  /**
   * Returns a random VM. With a probability of 80%, it is one that considers itself the owner, if
   * there is any.
   */
  SimVm anyVm() {
    List<SimVm> owners = vms.stream().filter(SimVm::held).toList();
    boolean routeToOwner = !owners.isEmpty() && time.chance(0.8);
    return routeToOwner ? owners.get(time.index(owners.size())) : vms.get(time.index(VMS));
  }

  /**
   * Assigns the partition to one VM, or temporarily to two, which occurs when VMs have different
   * views of the membership.
   */
  void moveOwnership() {
    int first = time.index(VMS);
    int second = time.chance(0.3) ? time.index(VMS) : first;
    for (int i = 0; i < VMS; i++) {
      vms.get(i).want(i == first || (i == second && !healed));
    }
  }

  private void moveOwnershipRepeatedly() {
    moveOwnership();
    if (!healed) {
      time.in(time.between(500, 5_000), this::moveOwnershipRepeatedly);
    }
  }

  private void disturb() {
    int target = time.index(VMS);
    double kind = time.index(100) / 100.0;
    if (healed) {
      return;
    }
    if (kind < 0.15) {
      vms.get(target).crash();
    } else if (kind < 0.35) {
      vms.get(target).pause(time.between(50, 2_500));
    } else if (kind < 0.45) {
      log.takeDown(time.between(100, 1_500));
    }
    restartCrashed();
    time.in(time.between(100, 900), this::disturb);
  }

  private void restartCrashed() {
    for (int i = 0; i < VMS; i++) {
      if (vms.get(i).crashed()) {
        incarnations[i]++;
        vms.set(i, new SimVm(i, incarnations[i], this, pausesBeforeSend));
      }
    }
  }
}
