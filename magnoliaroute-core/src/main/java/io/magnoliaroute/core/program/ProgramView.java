package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import java.util.List;
import java.util.Optional;

/**
 * An immutable view of a program, derived from the records of its partition.
 *
 * @param startedAtMs the wall-clock time of the start
 * @param deadlineAtMs the wall-clock time by which the program must end, 0 for none
 * @param parent the program whose sub-agent this one is
 * @param end the reason for the end, empty while the program is live
 * @param turns the completed turns, in order
 * @param tokensConsumed the tokens of all turns
 * @param consecutiveRepeats the number of consecutive turns at the end of the history that have
 *     equal requests
 * @param actionKeyCount the number of action keys in use
 * @param changedAtOffset the offset of the newest record that changed the program
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
    int consecutiveRepeats,
    int actionKeyCount,
    long changedAtOffset) {

  /** Copies the turns. */
  public ProgramView {
    turns = List.copyOf(turns);
  }

  /** Returns whether the program has not ended. */
  public boolean isLive() {
    return end.isEmpty();
  }

  /** Returns the number of the next turn. */
  public int nextTurnNumber() {
    return turns.size();
  }
}
