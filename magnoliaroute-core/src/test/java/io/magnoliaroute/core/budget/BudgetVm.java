package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.config.CarryForwardSchedule;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** A simulated VM with its ledger, holder and running calls. */
final class BudgetVm {

  private static final int CALLS_AT_ONCE = 5;

  final VmId id;
  BudgetLedger ledger;
  BudgetHolder holder;

  private final BudgetWorld world;
  private final boolean steady;
  private final List<Call> running = new ArrayList<>();
  private SliceReclaimer reclaimer;
  private BudgetCarryForward carryForward;
  private int incarnation;
  private int position;
  private long cutUntilMs;
  private long pausedUntilMs;
  private long downUntilMs;

  private record Call(Reservation reservation, long endMs) {}

  /**
   * Creates a VM.
   *
   * @param alwaysConnected whether the VM is never paused or disconnected by an injected fault, so
   *     that accounts are snapshotted before their records expire
   */
  BudgetVm(BudgetWorld simulation, VmId id, boolean alwaysConnected) {
    this.world = simulation;
    this.id = id;
    this.steady = alwaysConnected;
    start();
  }

  String writer() {
    return id + "/" + incarnation;
  }

  private void start() {
    incarnation++;
    ledger = new BudgetLedger();
    holder = new BudgetHolder(id, writer(), ledger, BudgetHolderLimits.defaults());
    reclaimer = new SliceReclaimer(id, writer(), 2_000, 300);
    carryForward =
        new BudgetCarryForward(new CarryForwardSchedule(id, BudgetWorld.RETENTION_MS), writer());
    beginReading();
  }

  private void beginReading() {
    position = world.log.firstRetained();
    ledger.readFrom(position);
    world.readsPastRetention += position > 0 ? 1 : 0;
  }

  void step(boolean faults) {
    if (faults) {
      fault();
    } else {
      cutUntilMs = 0;
      pausedUntilMs = 0;
    }
    if (world.nowMs < pausedUntilMs || world.nowMs < downUntilMs) {
      return;
    }
    holder.putTeam(BudgetWorld.TEAM, world.settings, world.settingsVersion());
    settleEnded();
    boolean endReached = read(faults ? world.random.nextInt(40) : 1_000);
    if (faults) {
      startCalls();
    }
    write(endReached, faults);
  }

  private void fault() {
    if (world.random.nextInt(60) == 0) {
      crash();
    }
    if (steady) {
      return;
    }
    if (world.random.nextInt(60) == 0) {
      cutUntilMs = world.nowMs + world.random.nextInt(30_000);
    }
    if (world.random.nextInt(60) == 0) {
      pausedUntilMs = world.nowMs + world.random.nextInt(30_000);
    }
  }

  private void crash() {
    world.crashes++;
    // Endpoints may still complete the calls of a crashed VM.
    for (Call call : running) {
      long units = call.reservation().units();
      world.spent(call.reservation(), world.random.nextBoolean() ? units : random(units));
    }
    running.clear();
    start();
    downUntilMs = world.nowMs + world.random.nextInt(8_000);
  }

  private long random(long units) {
    return world.random.nextInt((int) units + 1);
  }

  private boolean read(int maxRecords) {
    if (cut()) {
      return false;
    }
    if (position < world.log.firstRetained()) {
      beginReading();
    }
    int end = Math.min(world.log.end(), position + maxRecords);
    for (; position < end; position++) {
      BudgetRecord next = world.log.get(position);
      holder.applied(next, ledger.apply(position, next), world.nowMs);
    }
    if (position == world.log.end()) {
      ledger.reachedTip();
      return true;
    }
    return false;
  }

  private boolean cut() {
    return world.log.down() || world.nowMs < cutUntilMs;
  }

  private void write(boolean endReached, boolean faults) {
    List<BudgetRecord> records = new ArrayList<>(holder.poll(world.nowMs));
    List<VmId> live = new ArrayList<>();
    for (BudgetVm vm : world.vms) {
      boolean misjudged = faults && world.random.nextInt(6) == 0;
      boolean running = world.nowMs >= vm.downUntilMs && world.nowMs >= vm.pausedUntilMs;
      if (running != misjudged) {
        live.add(vm.id);
      }
    }
    records.addAll(reclaimer.poll(ledger, live, world.nowMs));
    if (endReached) {
      records.addAll(carryForward.poll(ledger, live, world.nowMs));
    }
    if (!cut()) {
      records.forEach(world.log::append);
    }
  }

  private void settleEnded() {
    Iterator<Call> calls = running.iterator();
    while (calls.hasNext()) {
      Call call = calls.next();
      if (world.nowMs >= call.endMs()) {
        long units = random(call.reservation().units());
        world.spent(call.reservation(), units);
        holder.settle(call.reservation(), units);
        calls.remove();
      }
    }
  }

  private void startCalls() {
    int wanted = world.random.nextInt(CALLS_AT_ONCE);
    for (int i = 0; i < wanted; i++) {
      long units = 1L + world.random.nextInt(world.maxCallUnits);
      Optional<Reservation> reservation = holder.reserve(BudgetWorld.TEAM, units, world.nowMs);
      reservation.ifPresent(reserved -> begin(reserved, world.random.nextInt(5_000)));
    }
  }

  private void begin(Reservation reservation, long durationMs) {
    world.calls++;
    running.add(new Call(reservation, world.nowMs + durationMs));
    for (Reservation.Part part : reservation.parts()) {
      long reserved = 0;
      for (Call call : running) {
        for (Reservation.Part each : call.reservation().parts()) {
          reserved += each.slice().equals(part.slice()) ? each.units() : 0;
        }
      }
      world.peakReservedBySlice.merge(part.slice(), reserved, Math::max);
    }
  }

  /** Runs calls that spend their entire reservation, until no further reservation succeeds. */
  void spendAll(long units) {
    Optional<Reservation> reservation = holder.reserve(BudgetWorld.TEAM, units, world.nowMs);
    while (reservation.isPresent()) {
      world.spent(reservation.get(), units);
      holder.settle(reservation.get(), units);
      reservation = holder.reserve(BudgetWorld.TEAM, units, world.nowMs);
    }
  }
}
