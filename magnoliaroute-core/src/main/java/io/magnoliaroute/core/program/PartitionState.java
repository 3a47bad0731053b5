package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.AppliedSequences;
import io.magnoliaroute.core.log.RecordId;
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
 * The state of one program partition, a deterministic function of the records of its stream and
 * their order.
 *
 * <p>Only the writer that holds the current claim may start, extend and end programs and reserve
 * action keys. Duplicates are detected by record id for that writer only. Records of other writers
 * are refused because of their epoch. The two kinds without an epoch, {@link ActionOutcome} and
 * {@link ActionAbandoned}, are idempotent.
 *
 * <p>Not thread-safe.
 */
public final class PartitionState {

  /** Maximum number of ended programs that are retained so that their history can be read. */
  public static final int MAX_ENDED_PROGRAMS = 256;

  /** Maximum bytes of retained ended programs. */
  public static final long MAX_ENDED_BYTES = 4L * 1024 * 1024;

  private static final Verdict DUPLICATE = new Verdict.Duplicate();
  private static final Verdict SNAPSHOT_READ = new Verdict.SnapshotRead();

  private record ClientKey(TeamId team, String key) {}

  private long lastOffset = -1;
  private ClaimView claim;
  private AppliedSequences appliedSequences = new AppliedSequences();
  private final Map<ProgramId, ProgramState> programs = new LinkedHashMap<>();
  private final Map<ProgramId, ProgramState> endedPrograms = new LinkedHashMap<>();
  private final Map<ClientKey, ProgramId> clientKeys = new HashMap<>();
  private final Map<RecordId, ProgramState.ActionState> intents = new LinkedHashMap<>();

  /**
   * Applies the record at the given offset. A record at an offset that is not higher than all
   * before it has no effect.
   */
  public Verdict apply(long offset, ProgramRecord record) {
    Objects.requireNonNull(record, "record");
    if (offset <= lastOffset) {
      return DUPLICATE;
    }
    lastOffset = offset;
    if (record instanceof Claim newClaim) {
      return applyClaim(offset, newClaim);
    }
    if (isOwner(record.id().writer()) && !appliedSequences.add(record.id().sequence())) {
      return DUPLICATE;
    }
    return record instanceof Snapshot ? SNAPSHOT_READ : applyOnce(offset, record);
  }

  /** Skips an offset whose record cannot be decoded. */
  public void skip(long offset) {
    lastOffset = Math.max(lastOffset, offset);
  }

  /** Returns the program, if it is known. Ended programs are retained for a limited time. */
  public Optional<ProgramView> program(ProgramId id) {
    return Optional.ofNullable(programs.get(id)).map(ProgramState::view);
  }

  /** Returns the program that the team started with the client key. */
  public Optional<ProgramId> programOfClientKey(TeamId team, String clientKey) {
    return Optional.ofNullable(clientKeys.get(new ClientKey(team, clientKey)));
  }

  /** Returns the ids of the live programs, in start order. */
  public List<ProgramId> livePrograms() {
    return programs.values().stream()
        .filter(program -> program.end.isEmpty())
        .map(program -> program.start.program())
        .toList();
  }

  /** Returns the intent that currently holds the action key. */
  public Optional<ActionView> action(ProgramId program, String key) {
    return Optional.ofNullable(programs.get(program))
        .map(state -> state.actions.get(key))
        .map(ProgramState.ActionState::view);
  }

  /** Returns the intents without an outcome, in offset order. */
  public List<OpenIntent> openIntents() {
    return intents.values().stream()
        .filter(ProgramState.ActionState::isOpen)
        .map(action -> new OpenIntent(action.intent, action.intentOffset))
        .toList();
  }

  /** Returns the current claim. */
  public Optional<ClaimView> claim() {
    return Optional.ofNullable(claim);
  }

  /** Returns the highest offset applied, skipped or restored, -1 before the first. */
  public long lastOffset() {
    return lastOffset;
  }

  /** Returns the snapshot entries from which {@link #restore} builds an equal state. */
  public List<SnapshotEntry> entries() {
    List<SnapshotEntry> entries = new ArrayList<>();
    if (claim != null) {
      entries.add(
          new SnapshotEntry.ClaimEntry(
              claim.offset(), claim.owner(), claim.epoch(), appliedSequences.ranges()));
    }
    for (ProgramState program : programs.values()) {
      program.addEntries(entries);
    }
    return entries;
  }

  /**
   * Replaces this state by that of a complete snapshot if the snapshot covers later offsets.
   *
   * @return whether the state was replaced; a snapshot of earlier or equal offsets has no effect
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
        .forEach(this::retainEnded);
    return true;
  }

  private Verdict applyOnce(long offset, ProgramRecord record) {
    if (record instanceof ProgramStarted started) {
      return applyStart(offset, started);
    }
    if (record instanceof TurnAppended appended) {
      return applyTurn(offset, appended);
    }
    if (record instanceof ActionIntent intent) {
      return applyIntent(offset, intent);
    }
    if (record instanceof ActionOutcome outcome) {
      return applyOutcome(offset, outcome);
    }
    if (record instanceof ActionAbandoned abandoned) {
      return applyAbandon(offset, abandoned);
    }
    if (record instanceof ProgramEnded end) {
      return applyEnd(offset, end);
    }
    throw new IllegalArgumentException("unsupported record type: " + record.getClass().getName());
  }

  private Verdict applyClaim(long offset, Claim newClaim) {
    if (claim != null && newClaim.epoch() <= claim.epoch()) {
      return refused(RecordRefusal.STALE_EPOCH);
    }
    if (!isOwner(newClaim.id().writer())) {
      appliedSequences = new AppliedSequences();
    }
    appliedSequences.add(newClaim.id().sequence());
    claim = new ClaimView(newClaim.id().writer(), newClaim.epoch(), offset);
    return new Verdict.Accepted(offset);
  }

  private Verdict applyStart(long offset, ProgramStarted started) {
    if (!isCurrentClaim(started.id(), started.epoch())) {
      return refused(RecordRefusal.STALE_EPOCH);
    }
    Optional<ProgramId> existing =
        started.clientKey().flatMap(key -> programOfClientKey(started.team(), key));
    if (existing.isPresent()) {
      return new Verdict.AlreadyStarted(existing.get());
    }
    if (programs.containsKey(started.program())) {
      return refused(RecordRefusal.PROGRAM_EXISTS);
    }
    Optional<RecordRefusal> parentRefusal =
        started.parent().flatMap(parent -> checkParent(parent, started.team()));
    if (parentRefusal.isPresent()) {
      return refused(parentRefusal.get());
    }
    addProgram(new ProgramState(offset, started));
    return new Verdict.Accepted(offset);
  }

  private Optional<RecordRefusal> checkParent(ProgramId id, TeamId team) {
    ProgramState parent = programs.get(id);
    if (parent == null) {
      return Optional.of(RecordRefusal.PARENT_UNKNOWN);
    }
    if (!parent.start.team().equals(team)) {
      return Optional.of(RecordRefusal.PARENT_OF_OTHER_TEAM);
    }
    return parent.end.isPresent() ? Optional.of(RecordRefusal.PARENT_ENDED) : Optional.empty();
  }

  private Verdict applyTurn(long offset, TurnAppended appended) {
    if (!isCurrentClaim(appended.id(), appended.epoch())) {
      return refused(RecordRefusal.STALE_EPOCH);
    }
    ProgramState program = programs.get(appended.program());
    if (program == null) {
      return refused(RecordRefusal.PROGRAM_UNKNOWN);
    }
    if (program.end.isPresent()) {
      return refused(RecordRefusal.PROGRAM_ENDED);
    }
    if (appended.turn().number() != program.turns.size()) {
      return refused(RecordRefusal.TURN_OUT_OF_ORDER);
    }
    program.addTurn(offset, appended.turn());
    return new Verdict.Accepted(offset);
  }

  private Verdict applyIntent(long offset, ActionIntent intent) {
    if (!isCurrentClaim(intent.id(), intent.epoch())) {
      return refused(RecordRefusal.STALE_EPOCH);
    }
    ProgramState program = programs.get(intent.program());
    if (program == null) {
      return refused(RecordRefusal.PROGRAM_UNKNOWN);
    }
    if (program.actions.containsKey(intent.key())) {
      return refused(RecordRefusal.KEY_USED);
    }
    if (program.end.isPresent()) {
      return refused(RecordRefusal.PROGRAM_ENDED);
    }
    addAction(program, new ProgramState.ActionState(offset, intent));
    return new Verdict.Accepted(offset);
  }

  private Verdict applyOutcome(long offset, ActionOutcome outcome) {
    ProgramState.ActionState action = intents.get(outcome.intent());
    if (action == null) {
      return refused(RecordRefusal.INTENT_NOT_LIVE);
    }
    WriterId writer = outcome.id().writer();
    if (!writer.equals(outcome.intent().writer()) && !isOwner(writer)) {
      return refused(RecordRefusal.NOT_THE_WRITER);
    }
    if (!action.isOpen()) {
      return refused(RecordRefusal.OUTCOME_KNOWN);
    }
    programs.get(action.intent.program()).setOutcome(offset, action, outcome);
    evictOldestEnded();
    return new Verdict.Accepted(offset);
  }

  private Verdict applyAbandon(long offset, ActionAbandoned abandoned) {
    RecordId intentId = abandoned.intent();
    if (!abandoned.id().writer().equals(intentId.writer())) {
      return refused(RecordRefusal.NOT_THE_WRITER);
    }
    ProgramState.ActionState action = intents.get(intentId);
    if (action != null && !action.isOpen()) {
      return refused(RecordRefusal.OUTCOME_KNOWN);
    }
    if (isOwner(intentId.writer())) {
      // Marks the id as applied so that the intent is treated as a duplicate if it is appended
      // later. An intent of a writer that is not the owner is refused because of its epoch.
      appliedSequences.add(intentId.sequence());
    }
    if (action != null) {
      intents.remove(intentId);
      programs.get(action.intent.program()).removeAction(offset, action);
    }
    evictOldestEnded();
    return new Verdict.Accepted(offset);
  }

  private Verdict applyEnd(long offset, ProgramEnded end) {
    if (!isCurrentClaim(end.id(), end.epoch())) {
      return refused(RecordRefusal.STALE_EPOCH);
    }
    ProgramState program = programs.get(end.program());
    if (program == null) {
      return refused(RecordRefusal.PROGRAM_UNKNOWN);
    }
    if (program.end.isPresent()) {
      return refused(RecordRefusal.PROGRAM_ENDED);
    }
    if (end.reason().requiresCurrentTurnCount() && end.turns() != program.turns.size()) {
      return refused(RecordRefusal.TURNS_ADDED);
    }
    program.setEnd(new ProgramEnd(end.reason(), offset));
    retainEnded(program);
    evictOldestEnded();
    return new Verdict.Accepted(offset);
  }

  private void retainEnded(ProgramState program) {
    endedPrograms.put(program.start.program(), program);
  }

  private void evictOldestEnded() {
    // Programs with an open action are retained so that the outcome can still be recorded.
    long retainedBytes = 0;
    for (ProgramState program : endedPrograms.values()) {
      retainedBytes += program.sizeBytes();
    }
    List<ProgramState> evictable =
        endedPrograms.values().stream().filter(program -> !program.hasOpenAction()).toList();
    for (ProgramState program : evictable) {
      if (endedPrograms.size() <= MAX_ENDED_PROGRAMS && retainedBytes <= MAX_ENDED_BYTES) {
        return;
      }
      retainedBytes -= program.sizeBytes();
      evict(program);
    }
  }

  private void evict(ProgramState program) {
    ProgramId id = program.start.program();
    endedPrograms.remove(id);
    programs.remove(id);
    program.start.clientKey().ifPresent(key -> removeClientKey(program, key));
    program.actions.values().forEach(action -> intents.remove(action.intent.id()));
  }

  private void removeClientKey(ProgramState program, String key) {
    clientKeys.remove(new ClientKey(program.start.team(), key));
  }

  private void addProgram(ProgramState program) {
    ProgramStarted start = program.start;
    programs.put(start.program(), program);
    start
        .clientKey()
        .ifPresent(key -> clientKeys.put(new ClientKey(start.team(), key), start.program()));
  }

  private void addAction(ProgramState program, ProgramState.ActionState action) {
    program.addAction(action);
    intents.put(action.intent.id(), action);
  }

  private void restoreEntry(SnapshotEntry entry) {
    if (entry instanceof SnapshotEntry.ClaimEntry claimEntry) {
      claim = new ClaimView(claimEntry.owner(), claimEntry.epoch(), claimEntry.offset());
      appliedSequences = AppliedSequences.ofRanges(claimEntry.appliedRanges());
    } else if (entry instanceof SnapshotEntry.ProgramEntry program) {
      addProgram(ProgramState.ofEntry(program));
    } else if (entry instanceof SnapshotEntry.TurnEntry turn) {
      programs.get(turn.program()).restoreTurn(turn);
    } else if (entry instanceof SnapshotEntry.ActionEntry action) {
      addAction(programs.get(action.intent().program()), ProgramState.ActionState.ofEntry(action));
    }
  }

  private void clear() {
    claim = null;
    appliedSequences = new AppliedSequences();
    programs.clear();
    endedPrograms.clear();
    clientKeys.clear();
    intents.clear();
  }

  private boolean isCurrentClaim(RecordId id, long epoch) {
    return isOwner(id.writer()) && epoch == claim.epoch();
  }

  private boolean isOwner(WriterId writer) {
    return claim != null && claim.owner().equals(writer);
  }

  private static Verdict refused(RecordRefusal reason) {
    return new Verdict.Refused(reason);
  }
}
