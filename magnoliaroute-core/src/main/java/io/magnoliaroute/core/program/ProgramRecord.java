package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import java.util.List;
import java.util.Optional;

/**
 * A record of a program stream.
 *
 * <p>Epochs are those of the claim that the writer held when it wrote the record.
 */
public sealed interface ProgramRecord {

  /** Returns the id that makes a repeated append harmless. */
  RecordId id();

  /**
   * Takes a partition for its writer.
   *
   * @param epoch higher than every epoch that the writer has read
   */
  record Claim(RecordId id, VmId vm, long epoch) implements ProgramRecord {}

  /**
   * Starts a program.
   *
   * @param startedAtMs the wall-clock time of the start
   * @param deadlineAtMs the wall-clock time by which the program must end, 0 for none
   * @param parent the program that this one is a sub-agent of
   * @param clientKey the caller's key; a second start of the team with it finds the first program
   */
  record ProgramStarted(
      RecordId id,
      long epoch,
      ProgramId program,
      TeamId team,
      PriorityClass priority,
      long startedAtMs,
      long deadlineAtMs,
      Optional<ProgramId> parent,
      Optional<String> clientKey)
      implements ProgramRecord {}

  /** Adds a completed turn to the history of its program. */
  record TurnAppended(RecordId id, long epoch, ProgramId program, Turn turn)
      implements ProgramRecord {}

  /**
   * Reserves the key of a non-idempotent action, before the action is sent.
   *
   * @param attempt the number of the caller's attempt, from 0
   * @param request what the service is asked to do
   */
  record ActionIntent(
      RecordId id,
      long epoch,
      ProgramId program,
      String key,
      int attempt,
      String service,
      Bytes request)
      implements ProgramRecord {}

  /**
   * Records what became of an action.
   *
   * @param intent the id of the intent that the outcome belongs to
   */
  record ActionOutcome(
      RecordId id, ProgramId program, String key, RecordId intent, Outcome outcome, Bytes result)
      implements ProgramRecord {}

  /** Gives up an intent that its writer has not sent and never sends. */
  record ActionAbandoned(RecordId id, RecordId intent) implements ProgramRecord {}

  /**
   * Ends a program.
   *
   * @param turns the number of turns that the writer knew of; a lapse is refused if another came
   */
  record ProgramEnded(RecordId id, long epoch, ProgramId program, EndReason reason, int turns)
      implements ProgramRecord {}

  /**
   * One part of a snapshot, which carries forward what records before the retention limit said.
   *
   * @param asOfOffset the last offset that the snapshot covers
   * @param writtenAtMs the wall-clock time of writing; it only decides when the next one is due
   * @param part the number of this part, from 0
   * @param parts the number of parts
   * @param entries the entries of this part
   */
  record Snapshot(
      RecordId id,
      long asOfOffset,
      long writtenAtMs,
      int part,
      int parts,
      List<SnapshotEntry> entries)
      implements ProgramRecord {

    /** Copies the entries. */
    public Snapshot {
      entries = List.copyOf(entries);
    }
  }
}
