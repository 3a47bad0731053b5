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
final class AcceptedPrograms {

  /**
   * Quantile of program sizes up to which remaining service counts as backlog. A program that has
   * attained more is served after new programs, so the rest of its service does not delay them.
   */
  private static final double TYPICAL_QUANTILE = 0.9;

  private final long lapseMs;
  private final Map<ProgramId, TrackedProgram> programs = new LinkedHashMap<>();
  private final Map<PriorityClass, ProgramSizeModel> sizes = new EnumMap<>(PriorityClass.class);
  private final Map<PriorityClass, ClassBacklog> backlogs = new EnumMap<>(PriorityClass.class);

  AcceptedPrograms(long lapseMs) {
    this.lapseMs = lapseMs;
    for (PriorityClass priority : PriorityClass.values()) {
      sizes.put(priority, new ProgramSizeModel());
      backlogs.put(priority, new ClassBacklog());
    }
  }

  boolean contains(ProgramId root) {
    return programs.containsKey(root);
  }

  int size() {
    return programs.size();
  }

  ProgramSizeModel sizes(PriorityClass priority) {
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
    ClassBacklog backlog = backlogs.get(priority);
    TeamBacklog own = backlog.teams.get(team);
    return backlog.shares - (own == null ? 0 : own.share);
  }

  /** Records an accepted call. The first call of a program tree adds the tree. */
  void recordAccepted(QueuedCall queued, long nowMs) {
    WaitingCall call = queued.call;
    TrackedProgram program = programs.remove(call.rootProgram());
    if (program == null) {
      program = new TrackedProgram(call, queued.effectivePriority, nowMs);
      backlogs.get(program.priority).addProgram(program);
    }
    program.lastActivityMs = nowMs;
    program.openCalls++;
    program.attainedUnits = Math.max(program.attainedUnits, call.attainedServiceUnits());
    programs.put(call.rootProgram(), program);
    updateRemaining(program);
  }

  /** Adds the time that a call waited for its slot to the waiting time of its program. */
  void recordGranted(QueuedCall queued, long nowMs) {
    TrackedProgram program = programs.get(queued.call.rootProgram());
    if (program != null) {
      program.waitedMs += queued.waitedMs(nowMs);
    }
  }

  /**
   * Adds the service of a grant that ended; {@code callEnded} is true if its call ended as well.
   */
  void recordRelease(QueuedCall queued, long units, boolean callEnded, long nowMs) {
    TrackedProgram program = programs.get(queued.call.rootProgram());
    if (program == null) {
      return;
    }
    program.lastActivityMs = nowMs;
    if (callEnded) {
      program.openCalls = Math.max(0, program.openCalls - 1);
    }
    program.attainedUnits += units;
    updateRemaining(program);
  }

  /**
   * Returns the service that the program tree has attained, as reported with its calls and observed
   * by this group.
   */
  long attainedUnits(ProgramId root) {
    TrackedProgram program = programs.get(root);
    return program == null ? 0 : program.attainedUnits;
  }

  /** Removes a program and adds its size to the size model. */
  void end(ProgramId root, long endedMs) {
    TrackedProgram program = programs.remove(root);
    if (program == null) {
      return;
    }
    backlogs.get(program.priority).removeProgram(program);
    double programMs = Math.max(0, endedMs - program.startedMs - program.waitedMs);
    sizes.get(program.priority).recordEnded(program.attainedUnits, programMs);
  }

  /** Ends programs that have no open call and have been idle for the lapse time. */
  void endLapsed(long nowMs) {
    List<ProgramId> lapsed = new ArrayList<>();
    for (Map.Entry<ProgramId, TrackedProgram> program : programs.entrySet()) {
      if (nowMs - program.getValue().lastActivityMs < lapseMs) {
        break;
      }
      if (program.getValue().openCalls == 0) {
        lapsed.add(program.getKey());
      }
    }
    lapsed.forEach(root -> end(root, programs.get(root).lastActivityMs));
  }

  private void updateRemaining(TrackedProgram program) {
    ProgramSizeModel model = sizes.get(program.priority);
    double untilQuantileUnits =
        Math.max(0, model.quantileUnits(TYPICAL_QUANTILE) - program.attainedUnits);
    double remaining = Math.min(untilQuantileUnits, model.remainingUnits(program.attainedUnits));
    backlogs.get(program.priority).addUnits(program, remaining - program.remainingUnits);
    program.remainingUnits = remaining;
  }

  private static final class TrackedProgram {

    private final PriorityClass priority;
    private final TeamId team;
    private final int share;
    private final long startedMs;
    private long lastActivityMs;
    private long waitedMs;
    private long attainedUnits;
    private double remainingUnits;
    private int openCalls;

    TrackedProgram(WaitingCall call, PriorityClass priority, long nowMs) {
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

  private static final class ClassBacklog {

    private final Map<TeamId, TeamBacklog> teams = new HashMap<>();
    private double totalUnits;
    private int shares;

    void addProgram(TrackedProgram program) {
      TeamBacklog team = teams.computeIfAbsent(program.team, id -> new TeamBacklog());
      if (team.programs == 0) {
        team.share = program.share;
        shares += program.share;
      }
      team.programs++;
    }

    void removeProgram(TrackedProgram program) {
      addUnits(program, -program.remainingUnits);
      TeamBacklog team = teams.get(program.team);
      team.programs--;
      if (team.programs == 0) {
        shares -= team.share;
        teams.remove(program.team);
      }
    }

    void addUnits(TrackedProgram program, double units) {
      totalUnits = Math.max(0, totalUnits + units);
      TeamBacklog team = teams.get(program.team);
      team.units = Math.max(0, team.units + units);
    }
  }
}
