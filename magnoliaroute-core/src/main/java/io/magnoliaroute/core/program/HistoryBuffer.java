package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.RecordSequence;
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
 * The completed turns of one VM that are not known to be logged.
 *
 * <p>Every turn passes through it: room is reserved before the call runs, the turn is held when the
 * call is done, and it is dropped when its record is read back. While the log is down, turns stay,
 * up to the bounds. When another epoch claimed the partition in between, the turns are compared
 * with its history by program and turn number; those that do not fit are reported. Not safe for use
 * by several threads.
 */
public final class HistoryBuffer {

  private static final class Held {
    private final Turn turn;
    private Optional<RecordId> writing = Optional.empty();

    Held(Turn turn) {
      this.turn = turn;
    }
  }

  private static final class ProgramTurns {
    private final int partition;
    private final Deque<Held> turns = new ArrayDeque<>();
    private Optional<Integer> reservedBytes = Optional.empty();
    private boolean withdrawn;

    ProgramTurns(int partition) {
      this.partition = partition;
    }
  }

  private final long maxBytes;
  private final int maxTurns;
  private final Map<ProgramId, ProgramTurns> programs = new LinkedHashMap<>();
  private long usedBytes;

  /**
   * Makes an empty buffer.
   *
   * @param maxBytes bytes held and reserved by the VM, {@code limits.unlogged_bytes}
   * @param maxTurns turns held and reserved by one program, {@code limits.unlogged_turns}
   */
  public HistoryBuffer(long maxBytes, int maxTurns) {
    if (maxBytes < 1 || maxTurns < 1) {
      throw new IllegalArgumentException(
          "bounds must be positive, were " + maxBytes + " bytes and " + maxTurns + " turns");
    }
    this.maxBytes = maxBytes;
    this.maxTurns = maxTurns;
  }

  /** Reserves room for the next turn of a program before its call runs. */
  public HoldResult reserve(int partition, ProgramId program, int sizeBytes) {
    ProgramTurns held = programs.get(program);
    if (held != null && held.reservedBytes.isPresent()) {
      return HoldResult.OUT_OF_ORDER;
    }
    if (held != null && held.turns.size() >= maxTurns) {
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

  /** Gives back the room of a call that completed no turn. */
  public void release(ProgramId program) {
    ProgramTurns held = programs.get(program);
    if (held == null) {
      return;
    }
    usedBytes -= held.reservedBytes.orElse(0);
    held.reservedBytes = Optional.empty();
    held.withdrawn = false;
    removeIfEmpty(program, held);
  }

  /**
   * Holds a completed turn in the room that was reserved for it. This ends the reservation,
   * whatever the result. A conflict that drops the turns which the call was built on withdraws it;
   * the program takes no other reservation until the call has ended.
   *
   * @param loggedTurns the number of turns in the program's history as far as it was read
   */
  public HoldResult hold(HeldTurn completed, int loggedTurns) {
    ProgramId program = completed.program();
    Turn turn = Objects.requireNonNull(completed.turn(), "turn");
    ProgramTurns reserved = programs.get(program);
    if (reserved == null || reserved.reservedBytes.isEmpty()) {
      return HoldResult.NOT_RESERVED;
    }
    boolean withdrawn = reserved.withdrawn;
    release(program);
    if (withdrawn) {
      return HoldResult.NOT_RESERVED;
    }
    if (turn.number() != nextTurn(program, loggedTurns)) {
      return HoldResult.OUT_OF_ORDER;
    }
    programs
        .computeIfAbsent(program, id -> new ProgramTurns(completed.partition()))
        .turns
        .addLast(new Held(turn));
    usedBytes += turn.sizeBytes();
    return HoldResult.HELD;
  }

  /**
   * Takes the unlogged turns of one program from another VM, such as an earlier owner or a mirror.
   *
   * <p>Turns that the history or this buffer has are passed over, and those that follow it are
   * held. The first turn that does not fit and all after it are returned.
   *
   * @param turns all unlogged turns of the program that the other VM holds, in order
   */
  public List<TurnConflict> offer(
      int partition, ProgramId program, List<Turn> turns, PartitionState state) {
    List<TurnConflict> conflicts = new ArrayList<>();
    Optional<ProgramView> view = state.program(program);
    for (Turn turn : turns) {
      TurnFit fit = conflicts.isEmpty() ? fitOf(program, view, turn) : TurnFit.AFTER_CONFLICT;
      if (fit == TurnFit.OPEN && !holdOffered(partition, program, turn, view.get().nextTurn())) {
        fit = TurnFit.NO_ROOM;
      }
      fit.conflict().ifPresent(kind -> conflicts.add(new TurnConflict(program, turn, kind)));
    }
    return conflicts;
  }

  /** Returns the number of the next turn, counting those held. */
  public int nextTurn(ProgramId program, int loggedTurns) {
    ProgramTurns held = programs.get(program);
    if (held == null || held.turns.isEmpty()) {
      return loggedTurns;
    }
    return Math.max(loggedTurns, held.turns.getLast().turn.number() + 1);
  }

  /** Returns the turns held for a program, in order. */
  public List<Turn> turns(ProgramId program) {
    ProgramTurns held = programs.get(program);
    return held == null ? List.of() : held.turns.stream().map(each -> each.turn).toList();
  }

  /** Returns all turns held for a partition, to mirror them or to offer them to another owner. */
  public List<HeldTurn> held(int partition) {
    List<HeldTurn> result = new ArrayList<>();
    programs.forEach(
        (program, held) -> {
          if (held.partition == partition) {
            held.turns.forEach(each -> result.add(new HeldTurn(partition, program, each.turn)));
          }
        });
    return result;
  }

  /** Returns the records of the turns that are not being written, in order, for the owner. */
  public List<ProgramRecord.TurnAppended> flush(int partition, long epoch, RecordSequence ids) {
    List<ProgramRecord.TurnAppended> records = new ArrayList<>();
    programs.forEach(
        (program, held) -> {
          if (held.partition != partition) {
            return;
          }
          for (Held each : held.turns) {
            if (each.writing.isEmpty()) {
              RecordId id = ids.next();
              each.writing = Optional.of(id);
              records.add(new ProgramRecord.TurnAppended(id, epoch, program, each.turn));
            }
          }
        });
    return records;
  }

  /** Takes back a record that could not be appended, with the later ones of its program. */
  public void notTaken(ProgramRecord.TurnAppended record) {
    ProgramTurns held = programs.get(record.program());
    if (held == null) {
      return;
    }
    for (Held each : held.turns) {
      if (each.turn.number() >= record.turn().number()) {
        each.writing = Optional.empty();
      }
    }
  }

  /** Takes back all records of a partition, whose claim was lost or taken anew. */
  public void rewrite(int partition) {
    for (ProgramTurns held : programs.values()) {
      if (held.partition == partition) {
        held.turns.forEach(each -> each.writing = Optional.empty());
      }
    }
  }

  /** Takes a record that was read back and returns the turns that it shows not to fit. */
  public List<TurnConflict> onApplied(AppliedRecord applied, PartitionState state) {
    if (!(applied.record() instanceof ProgramRecord.TurnAppended appended)) {
      return List.of();
    }
    ProgramTurns held = programs.get(appended.program());
    if (held == null) {
      return List.of();
    }
    List<TurnConflict> conflicts = reconcileProgram(appended.program(), held, state);
    if (!applied.verdict().accepted()) {
      for (Held each : held.turns) {
        boolean written = each.writing.filter(appended.id()::equals).isPresent();
        each.writing = written ? Optional.empty() : each.writing;
      }
    }
    return conflicts;
  }

  /** Compares all turns of a partition with its state and returns those that do not fit. */
  public List<TurnConflict> reconcile(int partition, PartitionState state) {
    List<TurnConflict> conflicts = new ArrayList<>();
    for (ProgramId program : List.copyOf(programs.keySet())) {
      ProgramTurns held = programs.get(program);
      if (held.partition == partition) {
        conflicts.addAll(reconcileProgram(program, held, state));
      }
    }
    return conflicts;
  }

  /** Returns the bytes held and reserved. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Returns the number of turns held. */
  public int heldTurns() {
    return programs.values().stream().mapToInt(held -> held.turns.size()).sum();
  }

  private boolean holdOffered(int partition, ProgramId program, Turn turn, int loggedTurns) {
    if (!reserve(partition, program, turn.sizeBytes()).held()) {
      return false;
    }
    return hold(new HeldTurn(partition, program, turn), loggedTurns).held();
  }

  private TurnFit fitOf(ProgramId program, Optional<ProgramView> view, Turn turn) {
    for (Turn held : turns(program)) {
      if (held.number() == turn.number()) {
        return TurnFit.sameContent(held, turn) ? TurnFit.PRESENT : TurnFit.DIFFERENT_CONTENT;
      }
    }
    return TurnFit.of(view, turn);
  }

  private List<TurnConflict> reconcileProgram(
      ProgramId program, ProgramTurns held, PartitionState state) {
    List<TurnConflict> conflicts = new ArrayList<>();
    Optional<ProgramView> view = state.program(program);
    Iterator<Held> each = held.turns.iterator();
    while (each.hasNext()) {
      Turn turn = each.next().turn;
      TurnFit fit = conflicts.isEmpty() ? TurnFit.of(view, turn) : TurnFit.AFTER_CONFLICT;
      fit.conflict().ifPresent(kind -> conflicts.add(new TurnConflict(program, turn, kind)));
      if (fit.done()) {
        each.remove();
        usedBytes -= turn.sizeBytes();
      }
    }
    held.withdrawn |= !conflicts.isEmpty() && held.reservedBytes.isPresent();
    removeIfEmpty(program, held);
    return conflicts;
  }

  private void removeIfEmpty(ProgramId program, ProgramTurns held) {
    if (held.turns.isEmpty() && held.reservedBytes.isEmpty()) {
      programs.remove(program);
    }
  }
}
