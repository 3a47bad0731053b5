package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import java.util.List;
import java.util.Optional;

/**
 * A program as the order of its stream gives it.
 *
 * @param startedAtMs the wall-clock time of the start
 * @param deadlineAtMs the wall-clock time by which it must end, 0 for none
 * @param parent the program that this one is a sub-agent of
 * @param end the reason, when it has ended
 * @param turns the history, in order
 * @param tokensConsumed tokens of all turns
 * @param repeats the number of turns at the end of the history that have the same request
 * @param actions the number of action keys in use
 * @param changedAtOffset the offset of the newest record that changed it
 */
public record ProgramView(
    ProgramId id,
    TeamId team,
    PriorityClass priority,
    long startedAtMs,
    long deadlineAtMs,
    Optional<ProgramId> parent,
    Optional<EndReason> end,
    List<Turn> turns,
    long tokensConsumed,
    int repeats,
    int actions,
    long changedAtOffset) {

  /** Copies the turns. */
  public ProgramView {
    turns = List.copyOf(turns);
  }

  /** Returns whether the program takes further turns. */
  public boolean live() {
    return end.isEmpty();
  }

  /** Returns the number that the next turn must have. */
  public int nextTurn() {
    return turns.size();
  }
}
