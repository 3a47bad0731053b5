package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The program trees that the group has accepted and the service they are still expected to need, in
 * all and for each class and team.
 */
final class ProgramLedger {

  /**
   * Programs longer than this part of all are served after new ones once they have had as much
   * service, so the rest of their service does not delay a new program.
   */
  private static final double TYPICAL_PART = 0.9;

  private final long lapseMs;
  private final Map<ProgramId, Entry> programs = new LinkedHashMap<>();
  private final Map<PriorityClass, SizeModel> sizes = new EnumMap<>(PriorityClass.class);
  private final Map<PriorityClass, Backlog> backlogs = new EnumMap<>(PriorityClass.class);

  ProgramLedger(long lapseMs) {
    this.lapseMs = lapseMs;
    for (PriorityClass priority : PriorityClass.values()) {
      sizes.put(priority, new SizeModel());
      backlogs.put(priority, new Backlog());
    }
  }

  boolean knows(ProgramId root) {
    return programs.containsKey(root);
  }

  int size() {
    return programs.size();
  }

  SizeModel sizes(PriorityClass priority) {
    return sizes.get(priority);
  }

  /** Returns the service expected of all programs of the class. */
  double backlogUnits(PriorityClass priority) {
    return backlogs.get(priority).totalUnits;
  }

  /** Returns the service expected of the programs of one team in one class. */
  double teamBacklogUnits(PriorityClass priority, TeamId team) {
    TeamBacklog backlog = backlogs.get(priority).teams.get(team);
    return backlog == null ? 0 : backlog.units;
  }

  /** Returns the sum of the shares of teams with programs in the class, besides the given one. */
  int otherShares(PriorityClass priority, TeamId team) {
    Backlog backlog = backlogs.get(priority);
    TeamBacklog own = backlog.teams.get(team);
    return backlog.shares - (own == null ? 0 : own.share);
  }

  /** Counts an accepted call; the first call of a tree starts its entry. */
  void accepted(QueuedCall queued, long nowMs) {
    WaitingCall call = queued.call;
    Entry entry = programs.remove(call.rootProgram());
    if (entry == null) {
      entry = new Entry(call, queued.served, nowMs);
      backlogs.get(entry.priority).addProgram(entry);
    }
    entry.lastSeenMs = nowMs;
    entry.openCalls++;
    entry.attainedUnits = Math.max(entry.attainedUnits, call.attainedServiceUnits());
    programs.put(call.rootProgram(), entry);
    expectRemaining(entry);
  }

  /** Counts the time that a call waited for its slot. */
  void granted(QueuedCall queued, long nowMs) {
    Entry entry = programs.get(queued.call.rootProgram());
    if (entry != null) {
      entry.waitedMs += queued.waitedMs(nowMs);
    }
  }

  /** Counts the service of a grant that ended, and whether its call ended with it. */
  void closed(QueuedCall queued, long units, boolean callEnded, long nowMs) {
    Entry entry = programs.get(queued.call.rootProgram());
    if (entry == null) {
      return;
    }
    entry.lastSeenMs = nowMs;
    if (callEnded) {
      entry.openCalls = Math.max(0, entry.openCalls - 1);
    }
    entry.attainedUnits += units;
    expectRemaining(entry);
  }

  /** Returns the service that the tree has had, as far as this group has seen. */
  long attainedUnits(ProgramId root) {
    Entry entry = programs.get(root);
    return entry == null ? 0 : entry.attainedUnits;
  }

  /** Forgets a program; the size model learns from it. */
  void end(ProgramId root, long endedMs) {
    Entry entry = programs.remove(root);
    if (entry == null) {
      return;
    }
    backlogs.get(entry.priority).removeProgram(entry);
    double programMs = Math.max(0, endedMs - entry.startedMs - entry.waitedMs);
    sizes.get(entry.priority).ended(entry.attainedUnits, programMs);
  }

  /** Forgets programs that made no call for so long that they count as ended. */
  void lapse(long nowMs) {
    List<ProgramId> lapsed = new ArrayList<>();
    for (Map.Entry<ProgramId, Entry> program : programs.entrySet()) {
      if (nowMs - program.getValue().lastSeenMs < lapseMs) {
        break;
      }
      if (program.getValue().openCalls == 0) {
        lapsed.add(program.getKey());
      }
    }
    lapsed.forEach(root -> end(root, programs.get(root).lastSeenMs));
  }

  private void expectRemaining(Entry entry) {
    SizeModel model = sizes.get(entry.priority);
    double typicalLeft = Math.max(0, model.quantileUnits(TYPICAL_PART) - entry.attainedUnits);
    double remaining = Math.min(typicalLeft, model.remainingUnits(entry.attainedUnits));
    backlogs.get(entry.priority).change(entry, remaining - entry.remainingUnits);
    entry.remainingUnits = remaining;
  }

  private static final class Entry {

    private final PriorityClass priority;
    private final TeamId team;
    private final int share;
    private final long startedMs;
    private long lastSeenMs;
    private long waitedMs;
    private long attainedUnits;
    private double remainingUnits;
    private int openCalls;

    Entry(WaitingCall call, PriorityClass priority, long nowMs) {
      this.priority = priority;
      this.team = call.team();
      this.share = call.teamShare();
      this.startedMs = nowMs;
    }
  }

  private static final class TeamBacklog {

    private int programs;
    private int share;
    private double units;
  }

  private static final class Backlog {

    private final Map<TeamId, TeamBacklog> teams = new HashMap<>();
    private double totalUnits;
    private int shares;

    void addProgram(Entry entry) {
      TeamBacklog team = teams.computeIfAbsent(entry.team, id -> new TeamBacklog());
      if (team.programs == 0) {
        team.share = entry.share;
        shares += entry.share;
      }
      team.programs++;
    }

    void removeProgram(Entry entry) {
      change(entry, -entry.remainingUnits);
      TeamBacklog team = teams.get(entry.team);
      team.programs--;
      if (team.programs == 0) {
        shares -= team.share;
        teams.remove(entry.team);
      }
    }

    void change(Entry entry, double units) {
      totalUnits = Math.max(0, totalUnits + units);
      TeamBacklog team = teams.get(entry.team);
      team.units = Math.max(0, team.units + units);
    }
  }
}
