package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.RecordSequence;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.AppliedRecord;
import io.magnoliaroute.core.program.HeldTurn;
import io.magnoliaroute.core.program.HistoryBuffer;
import io.magnoliaroute.core.program.PartitionReader;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.program.Turn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The turns that one VM runs; each answer names the request of the turn that it builds on. */
final class SimTurns {

  private static final long UNLOGGED_AFTER_MS = 700;
  private static final int PARTITION = 0;

  /** What a caller is told of a turn; the next turn number is that of the owner's view. */
  record Reply(boolean logged, int nextTurn) {}

  private record Waiter(Turn turn, long sinceMs, Consumer<Reply> told) {}

  private final String vm;
  private final VirtualTime time;
  private final PartitionReader reader;
  private final HistoryBuffer history = new HistoryBuffer(4_000, 4);
  private final Map<ProgramId, Waiter> waiters = new HashMap<>();

  SimTurns(String vm, VirtualTime time, PartitionReader reader) {
    this.vm = vm;
    this.time = time;
    this.reader = reader;
  }

  void begin(
      ProgramId program,
      int number,
      String content,
      Consumer<Reply> told,
      Consumer<Runnable> deliver) {
    Optional<ProgramView> view = reader.state().program(program);
    if (view.isEmpty()) {
      return;
    }
    int next = history.nextTurn(program, view.get().nextTurn());
    if (number != next || !history.reserve(PARTITION, program, 60).held()) {
      told.accept(new Reply(false, next));
      return;
    }
    List<Turn> before = new ArrayList<>(view.get().turns());
    before.addAll(history.turns(program));
    String previous = before.isEmpty() ? "" : before.get(next - 1).request().toUtf8();
    Bytes answer = Bytes.ofUtf8(vm + "<" + previous);
    Turn turn = new Turn(number, 0, Bytes.ofUtf8(content), answer, 1, 1);
    time.in(time.between(10, 80), () -> deliver.accept(() -> complete(program, turn, told)));
  }

  void rewrite() {
    history.rewrite(PARTITION);
    history.reconcile(PARTITION, reader.state());
  }

  void flush(long epoch, RecordSequence ids, Predicate<ProgramRecord> append) {
    for (ProgramRecord.TurnAppended record : history.flush(PARTITION, epoch, ids)) {
      if (!append.test(record)) {
        history.notTaken(record);
      }
    }
  }

  void onApplied(AppliedRecord applied) {
    history.onApplied(applied, reader.state());
  }

  void answer() {
    for (ProgramId program : List.copyOf(waiters.keySet())) {
      answer(program, waiters.get(program));
    }
  }

  private void complete(ProgramId program, Turn turn, Consumer<Reply> told) {
    int logged = reader.state().program(program).map(ProgramView::nextTurn).orElse(0);
    if (history.hold(new HeldTurn(PARTITION, program, turn), logged).held()) {
      waiters.put(program, new Waiter(turn, time.nowMs(), told));
    }
  }

  private void answer(ProgramId program, Waiter waiter) {
    Optional<ProgramView> view = reader.state().program(program);
    int number = waiter.turn().number();
    boolean logged =
        reader.complete()
            && view.isPresent()
            && view.get().nextTurn() > number
            && view.get().turns().get(number).equals(waiter.turn());
    boolean heldStill = history.turns(program).contains(waiter.turn());
    boolean late = time.nowMs() - waiter.sinceMs() > UNLOGGED_AFTER_MS;
    if (logged || (heldStill && late)) {
      waiter.told().accept(new Reply(logged, number + 1));
      waiters.remove(program);
    } else if (!heldStill) {
      waiters.remove(program);
    }
  }
}
