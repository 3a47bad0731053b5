package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.Bytes;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The mutable state of one program in a {@link PartitionState}. */
final class ProgramState {

  /** The intent that holds an action key, with its outcome. */
  static final class ActionState {
    final long intentOffset;
    final ProgramRecord.ActionIntent intent;
    Optional<ProgramRecord.ActionOutcome> outcome = Optional.empty();
    long changedAtOffset;

    ActionState(long intentOffset, ProgramRecord.ActionIntent intent) {
      this.intentOffset = intentOffset;
      this.intent = intent;
      this.changedAtOffset = intentOffset;
    }

    static ActionState ofEntry(SnapshotEntry.ActionEntry entry) {
      ActionState action = new ActionState(entry.intentOffset(), entry.intent());
      action.outcome = entry.outcome();
      action.changedAtOffset = entry.offset();
      return action;
    }

    boolean isOpen() {
      return outcome.isEmpty();
    }

    int sizeBytes() {
      return intent.request().sizeBytes()
          + outcome.map(recorded -> recorded.result().sizeBytes()).orElse(0);
    }

    ActionView view() {
      return new ActionView(
          intent.key(),
          intent.id(),
          intentOffset,
          intent.service(),
          intent.request(),
          outcome.map(ProgramRecord.ActionOutcome::outcome),
          outcome.map(ProgramRecord.ActionOutcome::result).orElse(Bytes.copyOf(new byte[0])));
    }
  }

  final ProgramRecord.ProgramStarted start;
  final List<Turn> turns = new ArrayList<>();
  final List<Long> turnOffsets = new ArrayList<>();
  final Map<String, ActionState> actions = new LinkedHashMap<>();
  Optional<ProgramEnd> end = Optional.empty();
  long changedAtOffset;
  private long tokens;
  private int consecutiveRepeats;
  private long sizeBytes;

  ProgramState(long offset, ProgramRecord.ProgramStarted start) {
    this.start = start;
    this.changedAtOffset = offset;
  }

  static ProgramState ofEntry(SnapshotEntry.ProgramEntry entry) {
    ProgramState state = new ProgramState(entry.offset(), entry.start());
    state.end = entry.end();
    return state;
  }

  void addEntries(List<SnapshotEntry> entries) {
    entries.add(new SnapshotEntry.ProgramEntry(changedAtOffset, start, end, turns.size()));
    for (int i = 0; i < turns.size(); i++) {
      entries.add(new SnapshotEntry.TurnEntry(turnOffsets.get(i), start.program(), turns.get(i)));
    }
    for (ActionState action : actions.values()) {
      entries.add(
          new SnapshotEntry.ActionEntry(
              action.changedAtOffset, action.intentOffset, action.intent, action.outcome));
    }
  }

  /**
   * Adds a turn but keeps the offset of the newest change, which was set from the program entry.
   */
  void restoreTurn(SnapshotEntry.TurnEntry entry) {
    long restoredOffset = changedAtOffset;
    addTurn(entry.offset(), entry.turn());
    changedAtOffset = restoredOffset;
  }

  void setEnd(ProgramEnd programEnd) {
    end = Optional.of(programEnd);
    changedAtOffset = programEnd.offset();
  }

  long endOffset() {
    return end.map(ProgramEnd::offset).orElse(Long.MAX_VALUE);
  }

  void addTurn(long offset, Turn turn) {
    boolean repeated =
        !turns.isEmpty() && turns.get(turns.size() - 1).request().equals(turn.request());
    consecutiveRepeats = repeated ? consecutiveRepeats + 1 : 1;
    turns.add(turn);
    turnOffsets.add(offset);
    tokens += turn.tokens();
    sizeBytes += turn.sizeBytes();
    changedAtOffset = offset;
  }

  void addAction(ActionState action) {
    actions.put(action.intent.key(), action);
    sizeBytes += action.sizeBytes();
    changedAtOffset = Math.max(changedAtOffset, action.changedAtOffset);
  }

  void removeAction(long offset, ActionState action) {
    actions.remove(action.intent.key());
    sizeBytes -= action.sizeBytes();
    changedAtOffset = offset;
  }

  void setOutcome(long offset, ActionState action, ProgramRecord.ActionOutcome outcome) {
    action.outcome = Optional.of(outcome);
    action.changedAtOffset = offset;
    sizeBytes += outcome.result().sizeBytes();
    changedAtOffset = Math.max(changedAtOffset, offset);
  }

  boolean hasOpenAction() {
    return actions.values().stream().anyMatch(ActionState::isOpen);
  }

  long sizeBytes() {
    return sizeBytes;
  }

  ProgramView view() {
    return new ProgramView(
        start.program(),
        start.team(),
        start.priority(),
        start.startedAtMs(),
        start.deadlineAtMs(),
        start.parent(),
        end.map(ProgramEnd::reason),
        turns,
        tokens,
        consecutiveRepeats,
        actions.size(),
        changedAtOffset);
  }
}
