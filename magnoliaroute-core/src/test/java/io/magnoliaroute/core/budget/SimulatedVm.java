package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.config.SnapshotSchedule;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** A simulated VM with its accounts, holder and running calls. */
final class SimulatedVm {

  private static final int NEW_CALLS_BOUND = 5;

  final VmId id;
  BudgetAccounts accounts;
  BudgetHolder holder;

  private final BudgetSimulation simulation;
  private final boolean alwaysConnected;
  private final List<Call> running = new ArrayList<>();
  private SliceReclaimer reclaimer;
  private BudgetSnapshotter snapshotter;
  private int incarnation;
  private int position;
  private long disconnectedUntilMs;
  private long pausedUntilMs;
  private long downUntilMs;

  private record Call(Reservation reservation, long endMs) {}

  /**
   * Creates a VM.
   *
   * @param alwaysConnected whether the VM is never paused or disconnected by an injected fault, so
   *     that accounts are snapshotted before their records expire
   */
  SimulatedVm(BudgetSimulation simulation, VmId id, boolean alwaysConnected) {
    this.simulation = simulation;
    this.id = id;
    this.alwaysConnected = alwaysConnected;
    start();
  }

  String writer() {
    return id + "/" + incarnation;
  }

  private void start() {
    incarnation++;
    accounts = new BudgetAccounts();
    holder = new BudgetHolder(id, writer(), accounts, BudgetHolderLimits.defaults());
    reclaimer = new SliceReclaimer(id, writer(), 2_000, 300);
    snapshotter =
        new BudgetSnapshotter(new SnapshotSchedule(id, BudgetSimulation.RETENTION_MS), writer());
    beginReading();
  }

  private void beginReading() {
    position = simulation.log.firstRetainedOffset();
    accounts.restartFrom(position);
    simulation.readsPastRetention += position > 0 ? 1 : 0;
  }

  void step(boolean faults) {
    if (faults) {
      injectFaults();
    } else {
      disconnectedUntilMs = 0;
      pausedUntilMs = 0;
    }
    if (simulation.nowMs < pausedUntilMs || simulation.nowMs < downUntilMs) {
      return;
    }
    holder.putTeam(BudgetSimulation.TEAM, simulation.settings, simulation.settingsVersion());
    settleEndedCalls();
    boolean endReached = read(faults ? simulation.random.nextInt(40) : 1_000);
    if (faults) {
      startCalls();
    }
    write(endReached, faults);
  }

  private void injectFaults() {
    if (simulation.random.nextInt(60) == 0) {
      crash();
    }
    if (alwaysConnected) {
      return;
    }
    if (simulation.random.nextInt(60) == 0) {
      disconnectedUntilMs = simulation.nowMs + simulation.random.nextInt(30_000);
    }
    if (simulation.random.nextInt(60) == 0) {
      pausedUntilMs = simulation.nowMs + simulation.random.nextInt(30_000);
    }
  }

  private void crash() {
    simulation.crashes++;
    // Endpoints may still complete the calls of a crashed VM.
    for (Call call : running) {
      long units = call.reservation().units();
      simulation.recordSpent(
          call.reservation(), simulation.random.nextBoolean() ? units : randomUnits(units));
    }
    running.clear();
    start();
    downUntilMs = simulation.nowMs + simulation.random.nextInt(8_000);
  }

  private long randomUnits(long units) {
    return simulation.random.nextInt((int) units + 1);
  }

  private boolean read(int maxRecords) {
    if (isDisconnected()) {
      return false;
    }
    if (position < simulation.log.firstRetainedOffset()) {
      beginReading();
    }
    int end = Math.min(simulation.log.endOffset(), position + maxRecords);
    for (; position < end; position++) {
      BudgetRecord next = simulation.log.get(position);
      holder.onApplied(next, accounts.apply(position, next), simulation.nowMs);
    }
    if (position == simulation.log.endOffset()) {
      accounts.markCaughtUp();
      return true;
    }
    return false;
  }

  private boolean isDisconnected() {
    return simulation.log.isUnavailable() || simulation.nowMs < disconnectedUntilMs;
  }

  private void write(boolean endReached, boolean faults) {
    List<BudgetRecord> records = new ArrayList<>(holder.poll(simulation.nowMs));
    List<VmId> live = new ArrayList<>();
    for (SimulatedVm vm : simulation.vms) {
      boolean misjudged = faults && simulation.random.nextInt(6) == 0;
      boolean running = simulation.nowMs >= vm.downUntilMs && simulation.nowMs >= vm.pausedUntilMs;
      if (running != misjudged) {
        live.add(vm.id);
      }
    }
    records.addAll(reclaimer.poll(accounts, live, simulation.nowMs));
    if (endReached) {
      records.addAll(snapshotter.poll(accounts, live, simulation.nowMs));
    }
    if (!isDisconnected()) {
      records.forEach(simulation.log::append);
    }
  }

  private void settleEndedCalls() {
    Iterator<Call> calls = running.iterator();
    while (calls.hasNext()) {
      Call call = calls.next();
      if (simulation.nowMs >= call.endMs()) {
        long units = randomUnits(call.reservation().units());
        simulation.recordSpent(call.reservation(), units);
        holder.settle(call.reservation(), units);
        calls.remove();
      }
    }
  }

  private void startCalls() {
    int wanted = simulation.random.nextInt(NEW_CALLS_BOUND);
    for (int i = 0; i < wanted; i++) {
      long units = 1L + simulation.random.nextInt(simulation.maxCallUnits);
      Optional<Reservation> reservation =
          holder.reserve(BudgetSimulation.TEAM, units, simulation.nowMs);
      reservation.ifPresent(reserved -> startCall(reserved, simulation.random.nextInt(5_000)));
    }
  }

  private void startCall(Reservation reservation, long durationMs) {
    simulation.calls++;
    running.add(new Call(reservation, simulation.nowMs + durationMs));
    for (Reservation.Part part : reservation.parts()) {
      long reserved = 0;
      for (Call call : running) {
        for (Reservation.Part each : call.reservation().parts()) {
          reserved += each.slice().equals(part.slice()) ? each.units() : 0;
        }
      }
      simulation.peakReservedBySlice.merge(part.slice(), reserved, Math::max);
    }
  }

  /** Runs calls that spend their entire reservation, until no further reservation succeeds. */
  void spendAll(long units) {
    Optional<Reservation> reservation =
        holder.reserve(BudgetSimulation.TEAM, units, simulation.nowMs);
    while (reservation.isPresent()) {
      simulation.recordSpent(reservation.get(), units);
      holder.settle(reservation.get(), units);
      reservation = holder.reserve(BudgetSimulation.TEAM, units, simulation.nowMs);
    }
  }
}
