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
 * A record in the stream of a program partition.
 *
 * <p>The epoch of a record is that of the claim that the writer held when it wrote the record.
 */
public sealed interface ProgramRecord {

  /** Returns the id of the record, by which repeated appends are detected. */
  RecordId id();

  /**
   * Claims the partition for the writer.
   *
   * @param epoch the epoch of the claim, higher than every epoch that the writer has read
   */
  record Claim(RecordId id, VmId vm, long epoch) implements ProgramRecord {}

  /**
   * Starts a program.
   *
   * @param startedAtMs the wall-clock time of the start
   * @param deadlineAtMs the wall-clock time by which the program must end, 0 for none
   * @param parent the program whose sub-agent this one is
   * @param clientKey the caller's idempotency key; a later start by the team with the same key
   *     returns the first program
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

  /** Appends a completed turn to the history of its program. */
  record TurnAppended(RecordId id, long epoch, ProgramId program, Turn turn)
      implements ProgramRecord {}

  /**
   * Reserves the key of a non-idempotent action before its request is sent.
   *
   * @param attempt the number of the caller's attempt, from 0
   * @param request the request to the service
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
   * Records the outcome of an action.
   *
   * @param intent the id of the intent that the outcome belongs to
   */
  record ActionOutcome(
      RecordId id, ProgramId program, String key, RecordId intent, Outcome outcome, Bytes result)
      implements ProgramRecord {}

  /** Abandons an intent whose request its writer has not sent and will not send. */
  record ActionAbandoned(RecordId id, RecordId intent) implements ProgramRecord {}

  /**
   * Ends a program.
   *
   * @param turns the number of turns that the writer had read; an end with reason {@link
   *     EndReason#LAPSED} is refused if the history has a different number
   */
  record ProgramEnded(RecordId id, long epoch, ProgramId program, EndReason reason, int turns)
      implements ProgramRecord {}

  /**
   * One part of a snapshot, which preserves the state that was established by records older than
   * the retention time of the log.
   *
   * @param asOfOffset the last offset that the snapshot covers
   * @param writtenAtMs the wall-clock time of writing, used only to schedule the next snapshot
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
