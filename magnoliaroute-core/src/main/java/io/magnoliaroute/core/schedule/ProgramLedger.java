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
 * Accepted program trees of a group with their attained service, and the remaining service expected
 * of them in total and for each class and team.
 */
final class ProgramLedger {

  /**
   * Quantile of program sizes up to which remaining service counts as backlog. A program that has
   * attained more is served after new programs, so the rest of its service does not delay them.
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

  /** Returns the remaining service expected of all programs of the class. */
  double backlogUnits(PriorityClass priority) {
    return backlogs.get(priority).totalUnits;
  }

  /** Returns the remaining service expected of the programs of one team in the class. */
  double teamBacklogUnits(PriorityClass priority, TeamId team) {
    TeamBacklog backlog = backlogs.get(priority).teams.get(team);
    return backlog == null ? 0 : backlog.units;
  }

  /** Returns the sum of the shares of the other teams that have programs in the class. */
  int otherShares(PriorityClass priority, TeamId team) {
    Backlog backlog = backlogs.get(priority);
    TeamBacklog own = backlog.teams.get(team);
    return backlog.shares - (own == null ? 0 : own.share);
  }

  /** Records an accepted call. The first call of a program tree adds the tree. */
  void accepted(QueuedCall queued, long nowMs) {
    WaitingCall call = queued.call;
    Entry program = programs.remove(call.rootProgram());
    if (program == null) {
      program = new Entry(call, queued.served, nowMs);
      backlogs.get(program.priority).addProgram(program);
    }
    program.lastSeenMs = nowMs;
    program.openCalls++;
    program.attainedUnits = Math.max(program.attainedUnits, call.attainedServiceUnits());
    programs.put(call.rootProgram(), program);
    expectRemaining(program);
  }

  /** Adds the time that a call waited for its slot to the waiting time of its program. */
  void granted(QueuedCall queued, long nowMs) {
    Entry program = programs.get(queued.call.rootProgram());
    if (program != null) {
      program.waitedMs += queued.waitedMs(nowMs);
    }
  }

  /**
   * Adds the service of a grant that ended; {@code callEnded} tells whether its call ended as well.
   */
  void closed(QueuedCall queued, long units, boolean callEnded, long nowMs) {
    Entry program = programs.get(queued.call.rootProgram());
    if (program == null) {
      return;
    }
    program.lastSeenMs = nowMs;
    if (callEnded) {
      program.openCalls = Math.max(0, program.openCalls - 1);
    }
    program.attainedUnits += units;
    expectRemaining(program);
  }

  /** Returns the service that the program tree has attained as far as this group knows. */
  long attainedUnits(ProgramId root) {
    Entry program = programs.get(root);
    return program == null ? 0 : program.attainedUnits;
  }

  /** Removes a program and adds its size to the size model. */
  void end(ProgramId root, long endedMs) {
    Entry program = programs.remove(root);
    if (program == null) {
      return;
    }
    backlogs.get(program.priority).removeProgram(program);
    double programMs = Math.max(0, endedMs - program.startedMs - program.waitedMs);
    sizes.get(program.priority).ended(program.attainedUnits, programMs);
  }

  /** Ends programs that have no open call and have been idle for the lapse time. */
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

  private void expectRemaining(Entry program) {
    SizeModel model = sizes.get(program.priority);
    double untilQuantileUnits =
        Math.max(0, model.quantileUnits(TYPICAL_PART) - program.attainedUnits);
    double remaining = Math.min(untilQuantileUnits, model.remainingUnits(program.attainedUnits));
    backlogs.get(program.priority).change(program, remaining - program.remainingUnits);
    program.remainingUnits = remaining;
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

    void addProgram(Entry program) {
      TeamBacklog team = teams.computeIfAbsent(program.team, id -> new TeamBacklog());
      if (team.programs == 0) {
        team.share = program.share;
        shares += program.share;
      }
      team.programs++;
    }

    void removeProgram(Entry program) {
      change(program, -program.remainingUnits);
      TeamBacklog team = teams.get(program.team);
      team.programs--;
      if (team.programs == 0) {
        shares -= team.share;
        teams.remove(program.team);
      }
    }

    void change(Entry program, double units) {
      totalUnits = Math.max(0, totalUnits + units);
      TeamBacklog team = teams.get(program.team);
      team.units = Math.max(0, team.units + units);
    }
  }
}
