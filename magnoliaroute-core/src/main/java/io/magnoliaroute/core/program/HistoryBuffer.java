package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.RecordIdGenerator;
import io.magnoliaroute.core.model.ProgramId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Buffers the completed turns of one VM until their records are read back from the log.
 *
 * <p>Every turn passes through the buffer. Capacity is reserved before the turn's call runs. The
 * turn is added when the call completes and removed when its record is read back. While the log is
 * unavailable, the buffer retains turns up to its limits. If the partition was claimed under
 * another epoch in the meantime, the buffered turns are compared with the history by program and
 * turn number, and the conflicting turns are reported. Not thread-safe.
 */
public final class HistoryBuffer {

  private static final class BufferedTurn {
    private final Turn turn;
    private Optional<RecordId> pendingRecordId = Optional.empty();

    BufferedTurn(Turn turn) {
      this.turn = turn;
    }
  }

  private static final class ProgramTurns {
    private final int partition;
    private final Deque<BufferedTurn> turns = new ArrayDeque<>();
    private Optional<Integer> reservedBytes = Optional.empty();
    private boolean reservationWithdrawn;

    ProgramTurns(int partition) {
      this.partition = partition;
    }
  }

  private final long maxBytes;
  private final int maxTurns;
  private final Map<ProgramId, ProgramTurns> programs = new LinkedHashMap<>();
  private long usedBytes;

  /**
   * Creates an empty buffer.
   *
   * @param maxBytes maximum bytes held and reserved by the VM, {@code limits.unlogged_bytes}
   * @param maxTurns maximum turns held and reserved by one program, {@code limits.unlogged_turns}
   */
  public HistoryBuffer(long maxBytes, int maxTurns) {
    if (maxBytes < 1 || maxTurns < 1) {
      throw new IllegalArgumentException(
          "maxBytes and maxTurns must be positive, were "
              + maxBytes
              + " bytes and "
              + maxTurns
              + " turns");
    }
    this.maxBytes = maxBytes;
    this.maxTurns = maxTurns;
  }

  /** Reserves capacity for a program's next turn before its call runs. */
  public HoldResult reserve(int partition, ProgramId program, int sizeBytes) {
    ProgramTurns programTurns = programs.get(program);
    if (programTurns != null && programTurns.reservedBytes.isPresent()) {
      return HoldResult.OUT_OF_ORDER;
    }
    if (programTurns != null && programTurns.turns.size() >= maxTurns) {
      return HoldResult.TOO_MANY_TURNS;
    }
    if (usedBytes + sizeBytes > maxBytes) {
      return HoldResult.TOO_MANY_BYTES;
    }
    programs.computeIfAbsent(program, id -> new ProgramTurns(partition)).reservedBytes =
        Optional.of(sizeBytes);
    usedBytes += sizeBytes;
    return HoldResult.HELD;
  }

  /** Releases the reservation of a call that ended without a completed turn. */
  public void release(ProgramId program) {
    ProgramTurns programTurns = programs.get(program);
    if (programTurns == null) {
      return;
    }
    usedBytes -= programTurns.reservedBytes.orElse(0);
    programTurns.reservedBytes = Optional.empty();
    programTurns.reservationWithdrawn = false;
    removeIfEmpty(program, programTurns);
  }

  /**
   * Adds a completed turn, using the capacity reserved for it. The reservation ends in every case.
   *
   * <p>A conflict that removes the turns on which the running call is based withdraws the call's
   * reservation, so that its turn is rejected. Until that call ends, the program cannot make
   * another reservation.
   *
   * @param loggedTurns the number of turns in the program's history as far as it has been read
   */
  public HoldResult hold(UnloggedTurn completed, int loggedTurns) {
    ProgramId program = completed.program();
    Turn turn = Objects.requireNonNull(completed.turn(), "turn");
    ProgramTurns reserved = programs.get(program);
    if (reserved == null || reserved.reservedBytes.isEmpty()) {
      return HoldResult.NOT_RESERVED;
    }
    boolean withdrawn = reserved.reservationWithdrawn;
    release(program);
    if (withdrawn) {
      return HoldResult.NOT_RESERVED;
    }
    if (turn.number() != nextTurnNumber(program, loggedTurns)) {
      return HoldResult.OUT_OF_ORDER;
    }
    programs
        .computeIfAbsent(program, id -> new ProgramTurns(completed.partition()))
        .turns
        .addLast(new BufferedTurn(turn));
    usedBytes += turn.sizeBytes();
    return HoldResult.HELD;
  }

  /**
   * Adds the unlogged turns of one program that another VM holds, such as an earlier owner or a
   * mirror.
   *
   * <p>Skips turns that are already in the history or in this buffer and adds the turns that follow
   * them. Returns the first turn that cannot be added and all turns after it.
   *
   * @param turns all unlogged turns of the program on the other VM, in order
   */
  public List<TurnConflict> offer(
      int partition, ProgramId program, List<Turn> turns, PartitionState state) {
    List<TurnConflict> conflicts = new ArrayList<>();
    Optional<ProgramView> view = state.program(program);
    for (Turn turn : turns) {
      HistoryMatch match =
          conflicts.isEmpty() ? match(program, view, turn) : HistoryMatch.AFTER_CONFLICT;
      if (match == HistoryMatch.OPEN
          && !reserveAndHold(partition, program, turn, view.get().nextTurnNumber())) {
        match = HistoryMatch.NO_ROOM;
      }
      match.conflict().ifPresent(kind -> conflicts.add(new TurnConflict(program, turn, kind)));
    }
    return conflicts;
  }

  /** Returns the number of the program's next turn, including the buffered turns. */
  public int nextTurnNumber(ProgramId program, int loggedTurns) {
    ProgramTurns programTurns = programs.get(program);
    if (programTurns == null || programTurns.turns.isEmpty()) {
      return loggedTurns;
    }
    return Math.max(loggedTurns, programTurns.turns.getLast().turn.number() + 1);
  }

  /** Returns the buffered turns of a program, in order. */
  public List<Turn> bufferedTurns(ProgramId program) {
    ProgramTurns programTurns = programs.get(program);
    return programTurns == null
        ? List.of()
        : programTurns.turns.stream().map(buffered -> buffered.turn).toList();
  }

  /** Returns all buffered turns of a partition, to be mirrored or sent to another owner. */
  public List<UnloggedTurn> unloggedTurns(int partition) {
    List<UnloggedTurn> result = new ArrayList<>();
    programs.forEach(
        (program, programTurns) -> {
          if (programTurns.partition == partition) {
            programTurns.turns.forEach(
                buffered -> result.add(new UnloggedTurn(partition, program, buffered.turn)));
          }
        });
    return result;
  }

  /**
   * Returns records for the turns that are not being written yet, in order, and marks these turns
   * as being written. The owner of the partition appends the records.
   */
  public List<ProgramRecord.TurnAppended> flush(int partition, long epoch, RecordIdGenerator ids) {
    List<ProgramRecord.TurnAppended> records = new ArrayList<>();
    programs.forEach(
        (program, programTurns) -> {
          if (programTurns.partition != partition) {
            return;
          }
          for (BufferedTurn buffered : programTurns.turns) {
            if (buffered.pendingRecordId.isEmpty()) {
              RecordId id = ids.next();
              buffered.pendingRecordId = Optional.of(id);
              records.add(new ProgramRecord.TurnAppended(id, epoch, program, buffered.turn));
            }
          }
        });
    return records;
  }

  /**
   * Marks the turn of a record that could not be appended, and the later turns of its program, as
   * not being written, so that the next flush returns them again.
   */
  public void onAppendFailed(ProgramRecord.TurnAppended record) {
    ProgramTurns programTurns = programs.get(record.program());
    if (programTurns == null) {
      return;
    }
    for (BufferedTurn buffered : programTurns.turns) {
      if (buffered.turn.number() >= record.turn().number()) {
        buffered.pendingRecordId = Optional.empty();
      }
    }
  }

  /**
   * Marks all turns of a partition as not being written, after its claim was lost or made again.
   */
  public void resetPendingRecords(int partition) {
    for (ProgramTurns programTurns : programs.values()) {
      if (programTurns.partition == partition) {
        programTurns.turns.forEach(buffered -> buffered.pendingRecordId = Optional.empty());
      }
    }
  }

  /**
   * Processes a record that was read back from the log and returns the turns that conflict with the
   * history.
   */
  public List<TurnConflict> onApplied(AppliedRecord applied, PartitionState state) {
    if (!(applied.record() instanceof ProgramRecord.TurnAppended appended)) {
      return List.of();
    }
    ProgramTurns programTurns = programs.get(appended.program());
    if (programTurns == null) {
      return List.of();
    }
    List<TurnConflict> conflicts = reconcileProgram(appended.program(), programTurns, state);
    if (!applied.verdict().isAccepted()) {
      for (BufferedTurn buffered : programTurns.turns) {
        boolean matches = buffered.pendingRecordId.filter(appended.id()::equals).isPresent();
        buffered.pendingRecordId = matches ? Optional.empty() : buffered.pendingRecordId;
      }
    }
    return conflicts;
  }

  /**
   * Compares all buffered turns of a partition with its state and returns the conflicting turns.
   */
  public List<TurnConflict> reconcile(int partition, PartitionState state) {
    List<TurnConflict> conflicts = new ArrayList<>();
    for (ProgramId program : List.copyOf(programs.keySet())) {
      ProgramTurns programTurns = programs.get(program);
      if (programTurns.partition == partition) {
        conflicts.addAll(reconcileProgram(program, programTurns, state));
      }
    }
    return conflicts;
  }

  /** Returns the number of bytes held and reserved. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Returns the number of buffered turns. */
  public int heldTurns() {
    return programs.values().stream().mapToInt(programTurns -> programTurns.turns.size()).sum();
  }

  private boolean reserveAndHold(int partition, ProgramId program, Turn turn, int loggedTurns) {
    if (!reserve(partition, program, turn.sizeBytes()).succeeded()) {
      return false;
    }
    return hold(new UnloggedTurn(partition, program, turn), loggedTurns).succeeded();
  }

  private HistoryMatch match(ProgramId program, Optional<ProgramView> view, Turn turn) {
    for (Turn buffered : bufferedTurns(program)) {
      if (buffered.number() == turn.number()) {
        return HistoryMatch.sameContent(buffered, turn)
            ? HistoryMatch.PRESENT
            : HistoryMatch.DIFFERENT_CONTENT;
      }
    }
    return HistoryMatch.of(view, turn);
  }

  private List<TurnConflict> reconcileProgram(
      ProgramId program, ProgramTurns programTurns, PartitionState state) {
    List<TurnConflict> conflicts = new ArrayList<>();
    Optional<ProgramView> view = state.program(program);
    Iterator<BufferedTurn> iterator = programTurns.turns.iterator();
    while (iterator.hasNext()) {
      Turn turn = iterator.next().turn;
      HistoryMatch match =
          conflicts.isEmpty() ? HistoryMatch.of(view, turn) : HistoryMatch.AFTER_CONFLICT;
      match.conflict().ifPresent(kind -> conflicts.add(new TurnConflict(program, turn, kind)));
      if (match.isResolved()) {
        iterator.remove();
        usedBytes -= turn.sizeBytes();
      }
    }
    programTurns.reservationWithdrawn |=
        !conflicts.isEmpty() && programTurns.reservedBytes.isPresent();
    removeIfEmpty(program, programTurns);
    return conflicts;
  }

  private void removeIfEmpty(ProgramId program, ProgramTurns programTurns) {
    if (programTurns.turns.isEmpty() && programTurns.reservedBytes.isEmpty()) {
      programs.remove(program);
    }
  }
}
