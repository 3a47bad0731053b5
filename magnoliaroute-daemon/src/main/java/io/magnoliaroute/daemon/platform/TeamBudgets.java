package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.budget.BudgetAvailability;
import io.magnoliaroute.core.budget.Reservation;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.TeamSettings;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.program.BudgetReservations;
import io.magnoliaroute.daemon.settings.ActiveSettings.SettingsSnapshot;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

/** The budget accounts of all teams on this VM, partitioned into a fixed set of log streams. */
public final class TeamBudgets implements BudgetReservations {

  /** The number of budget streams; a team is assigned to one by the hash of its name. */
  public static final int STREAM_COUNT = 8;

  private static final long POLL_INTERVAL_MS = 20;

  private final List<BudgetStream> streams = new ArrayList<>();
  private final ToLongFunction<TeamId> branchVersions;
  private Map<TeamId, TeamSettings> appliedTeams = new HashMap<>();

  /** Creates the streams without any team; {@link #applySettings} adds the teams. */
  public TeamBudgets(
      Vertx vertx,
      LogPort log,
      InstantSource clock,
      VmId vm,
      String writer,
      ToLongFunction<TeamId> branchVersions,
      DaemonMetrics metrics) {
    this.branchVersions = branchVersions;
    for (int i = 0; i < STREAM_COUNT; i++) {
      streams.add(new BudgetStream("budget-" + i, vertx, log, clock, vm, writer, metrics));
    }
    vertx.setPeriodic(POLL_INTERVAL_MS, timer -> streams.forEach(BudgetStream::poll));
  }

  /** Adds and updates the teams of the snapshot, and removes those that it no longer contains. */
  public synchronized void applySettings(SettingsSnapshot snapshot) {
    Map<TeamId, TeamSettings> teams = snapshot.tree().teams();
    Set<TeamId> removed = new HashSet<>(appliedTeams.keySet());
    for (TeamSettings team : teams.values()) {
      removed.remove(team.id());
      if (!team.equals(appliedTeams.get(team.id()))) {
        streamOf(team.id()).putTeam(team, branchVersions.applyAsLong(team.id()));
      }
    }
    removed.forEach(team -> streamOf(team).removeTeam(team));
    appliedTeams = new HashMap<>(teams);
  }

  @Override
  public Future<Reservation> reserve(TeamId team, long units) {
    return streamOf(team).reserve(team, units);
  }

  @Override
  public void settle(Reservation reservation, long spentUnits) {
    streamOf(reservation.team()).settle(reservation, spentUnits);
  }

  /** Returns whether the units could be reserved, or why not, without reserving them. */
  public BudgetAvailability availability(TeamId team, long units) {
    return streamOf(team).availability(team, units);
  }

  /**
   * Appends due account snapshots and reclaims the slices of VMs that are not in {@code live}.
   *
   * @param live the VMs that the membership regards as live
   */
  public void runMaintenance(Collection<VmId> live) {
    streams.forEach(stream -> stream.runMaintenance(live));
  }

  /** Releases all slices of this VM; completes once the log has accepted the releases. */
  public Future<Void> drain() {
    List<Future<Void>> drains = streams.stream().map(BudgetStream::drain).toList();
    return Future.join(drains).mapEmpty();
  }

  private BudgetStream streamOf(TeamId team) {
    return streams.get(Math.floorMod(Hashing.fnv1a64(team.value()), STREAM_COUNT));
  }
}
