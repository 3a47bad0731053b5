package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.SeenSequences;
import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.program.ProgramRecord.ActionAbandoned;
import io.magnoliaroute.core.program.ProgramRecord.ActionIntent;
import io.magnoliaroute.core.program.ProgramRecord.ActionOutcome;
import io.magnoliaroute.core.program.ProgramRecord.Claim;
import io.magnoliaroute.core.program.ProgramRecord.ProgramEnded;
import io.magnoliaroute.core.program.ProgramRecord.ProgramStarted;
import io.magnoliaroute.core.program.ProgramRecord.Snapshot;
import io.magnoliaroute.core.program.ProgramRecord.TurnAppended;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The state of one program partition, a function of the order of its stream.
 *
 * <p>Only the writer that holds the claim in force may start, extend and end programs and reserve
 * action keys. Record ids are kept for that writer alone: records of every other writer are refused
 * by their epoch, and the two kinds that carry no epoch, {@link ActionOutcome} and {@link
 * ActionAbandoned}, have no further effect when they are applied again.
 *
 * <p>Not safe for use by several threads.
 */
public final class PartitionState {

  /** Ended programs that are kept for readers of their history. */
  public static final int MAX_ENDED_PROGRAMS = 256;

  /** Bytes of ended programs that are kept. */
  public static final long MAX_ENDED_BYTES = 4L * 1024 * 1024;

  private static final Verdict DUPLICATE = new Verdict.Duplicate();
  private static final Verdict SNAPSHOT_READ = new Verdict.SnapshotRead();

  private record ClientKey(TeamId team, String key) {}

  private long lastOffset = -1;
  private ClaimView claim;
  private SeenSequences seen = new SeenSequences();
  private final Map<ProgramId, ProgramState> programs = new LinkedHashMap<>();
  private final Map<ProgramId, ProgramState> ended = new LinkedHashMap<>();
  private final Map<ClientKey, ProgramId> clientKeys = new HashMap<>();
  private final Map<RecordId, ProgramState.Action> intents = new LinkedHashMap<>();

  /** Applies the record at the offset. Offsets must rise; an earlier one has no effect. */
  public Verdict apply(long offset, ProgramRecord r) {
    Objects.requireNonNull(r, "r");
    if (offset <= lastOffset) {
      return DUPLICATE;
    }
    lastOffset = offset;
    if (r instanceof Claim taken) {
      return applyClaim(offset, taken);
    }
    if (isOwner(r.id().writer()) && !seen.add(r.id().sequence())) {
      return DUPLICATE;
    }
    return r instanceof Snapshot ? SNAPSHOT_READ : applyOnce(offset, r);
  }

  /** Passes over an offset whose record cannot be decoded. */
  public void skip(long offset) {
    lastOffset = Math.max(lastOffset, offset);
  }

  /** Returns the program, if it is known; ended programs are known for a while. */
  public Optional<ProgramView> program(ProgramId id) {
    return Optional.ofNullable(programs.get(id)).map(ProgramState::view);
  }

  /** Returns the program that the team started under the client key. */
  public Optional<ProgramId> programOfClientKey(TeamId team, String clientKey) {
    return Optional.ofNullable(clientKeys.get(new ClientKey(team, clientKey)));
  }

  /** Returns the ids of the live programs, in the order of their start. */
  public List<ProgramId> livePrograms() {
    return programs.values().stream()
        .filter(program -> program.end.isEmpty())
        .map(program -> program.start.program())
        .toList();
  }

  /** Returns the live intent of the key. */
  public Optional<ActionView> action(ProgramId program, String key) {
    return Optional.ofNullable(programs.get(program))
        .map(state -> state.actions.get(key))
        .map(ProgramState.Action::view);
  }

  /** Returns the intents without an outcome, in the order of their offsets. */
  public List<OpenIntent> openIntents() {
    return intents.values().stream()
        .filter(ProgramState.Action::open)
        .map(action -> new OpenIntent(action.intent, action.intentOffset))
        .toList();
  }

  /** Returns the claim in force. */
  public Optional<ClaimView> claim() {
    return Optional.ofNullable(claim);
  }

  /** Returns the offset of the last record applied, -1 before the first. */
  public long lastOffset() {
    return lastOffset;
  }

  /** Returns the entries from which {@link #restore} makes an equal state. */
  public List<SnapshotEntry> entries() {
    List<SnapshotEntry> entries = new ArrayList<>();
    if (claim != null) {
      entries.add(
          new SnapshotEntry.ClaimEntry(
              claim.offset(), claim.owner(), claim.epoch(), seen.ranges()));
    }
    for (ProgramState program : programs.values()) {
      program.addEntries(entries);
    }
    return entries;
  }

  /**
   * Takes the state of a complete snapshot, if it covers more than this state does.
   *
   * @return whether the state was taken; an older snapshot changes nothing
   */
  public boolean restore(long asOfOffset, List<SnapshotEntry> entries) {
    if (asOfOffset <= lastOffset) {
      return false;
    }
    clear();
    lastOffset = asOfOffset;
    for (SnapshotEntry entry : entries) {
      restoreEntry(entry);
    }
    programs.values().stream()
        .filter(program -> program.end.isPresent())
        .sorted((a, b) -> Long.compare(a.endOffset(), b.endOffset()))
        .forEach(this::keepEnded);
    return true;
  }

  private Verdict applyOnce(long offset, ProgramRecord r) {
    if (r instanceof ProgramStarted started) {
      return applyStart(offset, started);
    }
    if (r instanceof TurnAppended appended) {
      return applyTurn(offset, appended);
    }
    if (r instanceof ActionIntent intent) {
      return applyIntent(offset, intent);
    }
    if (r instanceof ActionOutcome outcome) {
      return applyOutcome(offset, outcome);
    }
    if (r instanceof ActionAbandoned abandoned) {
      return applyAbandon(offset, abandoned);
    }
    if (r instanceof ProgramEnded end) {
      return applyEnd(offset, end);
    }
    throw new IllegalArgumentException("no rule for " + r.getClass().getName());
  }

  private Verdict applyClaim(long offset, Claim taken) {
    if (claim != null && taken.epoch() <= claim.epoch()) {
      return refused(Refusal.STALE_EPOCH);
    }
    if (!isOwner(taken.id().writer())) {
      seen = new SeenSequences();
    }
    seen.add(taken.id().sequence());
    claim = new ClaimView(taken.id().writer(), taken.epoch(), offset);
    return new Verdict.Accepted(offset);
  }

  private Verdict applyStart(long offset, ProgramStarted started) {
    if (!inForce(started.id(), started.epoch())) {
      return refused(Refusal.STALE_EPOCH);
    }
    Optional<ProgramId> before =
        started.clientKey().flatMap(key -> programOfClientKey(started.team(), key));
    if (before.isPresent()) {
      return new Verdict.StartedBefore(before.get());
    }
    if (programs.containsKey(started.program())) {
      return refused(Refusal.PROGRAM_EXISTS);
    }
    Optional<Refusal> parentRefusal =
        started.parent().flatMap(parent -> checkParent(parent, started.team()));
    if (parentRefusal.isPresent()) {
      return refused(parentRefusal.get());
    }
    addProgram(new ProgramState(offset, started));
    return new Verdict.Accepted(offset);
  }

  private Optional<Refusal> checkParent(ProgramId id, TeamId team) {
    ProgramState parent = programs.get(id);
    if (parent == null) {
      return Optional.of(Refusal.PARENT_UNKNOWN);
    }
    if (!parent.start.team().equals(team)) {
      return Optional.of(Refusal.PARENT_OF_OTHER_TEAM);
    }
    return parent.end.isPresent() ? Optional.of(Refusal.PARENT_ENDED) : Optional.empty();
  }

  private Verdict applyTurn(long offset, TurnAppended appended) {
    if (!inForce(appended.id(), appended.epoch())) {
      return refused(Refusal.STALE_EPOCH);
    }
    ProgramState program = programs.get(appended.program());
    if (program == null) {
      return refused(Refusal.PROGRAM_UNKNOWN);
    }
    if (program.end.isPresent()) {
      return refused(Refusal.PROGRAM_ENDED);
    }
    if (appended.turn().number() != program.turns.size()) {
      return refused(Refusal.TURN_OUT_OF_ORDER);
    }
    program.addTurn(offset, appended.turn());
    return new Verdict.Accepted(offset);
  }

  private Verdict applyIntent(long offset, ActionIntent intent) {
    if (!inForce(intent.id(), intent.epoch())) {
      return refused(Refusal.STALE_EPOCH);
    }
    ProgramState program = programs.get(intent.program());
    if (program == null) {
      return refused(Refusal.PROGRAM_UNKNOWN);
    }
    if (program.actions.containsKey(intent.key())) {
      return refused(Refusal.KEY_USED);
    }
    if (program.end.isPresent()) {
      return refused(Refusal.PROGRAM_ENDED);
    }
    addAction(program, new ProgramState.Action(offset, intent));
    return new Verdict.Accepted(offset);
  }

  private Verdict applyOutcome(long offset, ActionOutcome outcome) {
    ProgramState.Action action = intents.get(outcome.intent());
    if (action == null) {
      return refused(Refusal.INTENT_NOT_LIVE);
    }
    WriterId writer = outcome.id().writer();
    if (!writer.equals(outcome.intent().writer()) && !isOwner(writer)) {
      return refused(Refusal.NOT_THE_WRITER);
    }
    if (!action.open()) {
      return refused(Refusal.OUTCOME_KNOWN);
    }
    programs.get(action.intent.program()).setOutcome(offset, action, outcome);
    dropOldestEnded();
    return new Verdict.Accepted(offset);
  }

  private Verdict applyAbandon(long offset, ActionAbandoned abandoned) {
    RecordId intentId = abandoned.intent();
    if (!abandoned.id().writer().equals(intentId.writer())) {
      return refused(Refusal.NOT_THE_WRITER);
    }
    ProgramState.Action action = intents.get(intentId);
    if (action != null && !action.open()) {
      return refused(Refusal.OUTCOME_KNOWN);
    }
    if (isOwner(intentId.writer())) {
      // Voids an intent that lands later. One of an earlier epoch is refused by that epoch.
      seen.add(intentId.sequence());
    }
    if (action != null) {
      intents.remove(intentId);
      programs.get(action.intent.program()).removeAction(offset, action);
    }
    dropOldestEnded();
    return new Verdict.Accepted(offset);
  }

  private Verdict applyEnd(long offset, ProgramEnded end) {
    if (!inForce(end.id(), end.epoch())) {
      return refused(Refusal.STALE_EPOCH);
    }
    ProgramState program = programs.get(end.program());
    if (program == null) {
      return refused(Refusal.PROGRAM_UNKNOWN);
    }
    if (program.end.isPresent()) {
      return refused(Refusal.PROGRAM_ENDED);
    }
    if (end.reason().refusedByNewTurn() && end.turns() != program.turns.size()) {
      return refused(Refusal.TURNS_ADDED);
    }
    program.setEnd(new ProgramEnd(end.reason(), offset));
    keepEnded(program);
    dropOldestEnded();
    return new Verdict.Accepted(offset);
  }

  private void keepEnded(ProgramState program) {
    ended.put(program.start.program(), program);
  }

  private void dropOldestEnded() {
    // Programs with an open action stay until its outcome is known, so that it can be recorded.
    long endedBytesLeft = 0;
    for (ProgramState program : ended.values()) {
      endedBytesLeft += program.sizeBytes();
    }
    List<ProgramState> droppable =
        ended.values().stream().filter(program -> !program.hasOpenAction()).toList();
    for (ProgramState program : droppable) {
      if (ended.size() <= MAX_ENDED_PROGRAMS && endedBytesLeft <= MAX_ENDED_BYTES) {
        return;
      }
      endedBytesLeft -= program.sizeBytes();
      drop(program);
    }
  }

  private void drop(ProgramState program) {
    ProgramId id = program.start.program();
    ended.remove(id);
    programs.remove(id);
    program.start.clientKey().ifPresent(key -> forgetClientKey(program, key));
    program.actions.values().forEach(action -> intents.remove(action.intent.id()));
  }

  private void forgetClientKey(ProgramState program, String key) {
    clientKeys.remove(new ClientKey(program.start.team(), key));
  }

  private void addProgram(ProgramState program) {
    ProgramStarted start = program.start;
    programs.put(start.program(), program);
    start
        .clientKey()
        .ifPresent(key -> clientKeys.put(new ClientKey(start.team(), key), start.program()));
  }

  private void addAction(ProgramState program, ProgramState.Action action) {
    program.addAction(action);
    intents.put(action.intent.id(), action);
  }

  private void restoreEntry(SnapshotEntry entry) {
    if (entry instanceof SnapshotEntry.ClaimEntry held) {
      claim = new ClaimView(held.owner(), held.epoch(), held.offset());
      seen = SeenSequences.ofRanges(held.seen());
    } else if (entry instanceof SnapshotEntry.ProgramEntry program) {
      addProgram(ProgramState.ofEntry(program));
    } else if (entry instanceof SnapshotEntry.TurnEntry turn) {
      programs.get(turn.program()).restoreTurn(turn);
    } else if (entry instanceof SnapshotEntry.ActionEntry action) {
      addAction(programs.get(action.intent().program()), ProgramState.Action.ofEntry(action));
    }
  }

  private void clear() {
    claim = null;
    seen = new SeenSequences();
    programs.clear();
    ended.clear();
    clientKeys.clear();
    intents.clear();
  }

  private boolean inForce(RecordId id, long epoch) {
    return isOwner(id.writer()) && epoch == claim.epoch();
  }

  private boolean isOwner(WriterId writer) {
    return claim != null && claim.owner().equals(writer);
  }

  private static Verdict refused(Refusal reason) {
    return new Verdict.Refused(reason);
  }
}
