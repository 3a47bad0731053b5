package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.RecordIdGenerator;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.AppliedRecord;
import io.magnoliaroute.core.program.HistoryBuffer;
import io.magnoliaroute.core.program.PartitionReader;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.core.program.UnloggedTurn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Simulates the turns that one VM processes. Each answer contains the request of the preceding
 * turn, so that a wrong history can be detected.
 */
final class SimTurns {

  private static final long LOG_TIMEOUT_MS = 700;
  private static final int PARTITION = 0;

  /** The reply to a turn; the next turn number is taken from the owner's view of the program. */
  record Reply(boolean isLogged, int nextTurn) {}

  private record Waiter(Turn turn, long sinceMs, Consumer<Reply> callback) {}

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
      Consumer<Reply> callback,
      Consumer<Runnable> deliver) {
    Optional<ProgramView> view = reader.state().program(program);
    if (view.isEmpty()) {
      return;
    }
    int next = history.nextTurnNumber(program, view.get().nextTurnNumber());
    if (number != next || !history.reserve(PARTITION, program, 60).succeeded()) {
      callback.accept(new Reply(false, next));
      return;
    }
    List<Turn> precedingTurns = new ArrayList<>(view.get().turns());
    precedingTurns.addAll(history.bufferedTurns(program));
    String previous =
        precedingTurns.isEmpty() ? "" : precedingTurns.get(next - 1).request().toUtf8();
    Bytes answer = Bytes.ofUtf8(vm + "<" + previous);
    Turn turn = new Turn(number, 0, Bytes.ofUtf8(content), answer, 1, 1);
    time.schedule(
        time.randomBetween(10, 80), () -> deliver.accept(() -> complete(program, turn, callback)));
  }

  void reconcile() {
    history.resetPendingRecords(PARTITION);
    history.reconcile(PARTITION, reader.state());
  }

  void flush(long epoch, RecordIdGenerator ids, Predicate<ProgramRecord> append) {
    for (ProgramRecord.TurnAppended record : history.flush(PARTITION, epoch, ids)) {
      if (!append.test(record)) {
        history.onAppendFailed(record);
      }
    }
  }

  void onApplied(AppliedRecord applied) {
    history.onApplied(applied, reader.state());
  }

  void notifyWaiters() {
    for (ProgramId program : List.copyOf(waiters.keySet())) {
      notifyWaiters(program, waiters.get(program));
    }
  }

  private void complete(ProgramId program, Turn turn, Consumer<Reply> callback) {
    int logged = reader.state().program(program).map(ProgramView::nextTurnNumber).orElse(0);
    if (history.hold(new UnloggedTurn(PARTITION, program, turn), logged).succeeded()) {
      waiters.put(program, new Waiter(turn, time.nowMs(), callback));
    }
  }

  private void notifyWaiters(ProgramId program, Waiter waiter) {
    Optional<ProgramView> view = reader.state().program(program);
    int number = waiter.turn().number();
    boolean logged =
        reader.isComplete()
            && view.isPresent()
            && view.get().nextTurnNumber() > number
            && view.get().turns().get(number).equals(waiter.turn());
    boolean stillHeld = history.bufferedTurns(program).contains(waiter.turn());
    boolean timedOut = time.nowMs() - waiter.sinceMs() > LOG_TIMEOUT_MS;
    if (logged || (stillHeld && timedOut)) {
      waiter.callback().accept(new Reply(logged, number + 1));
      waiters.remove(program);
    } else if (!stillHeld) {
      waiters.remove(program);
    }
  }
}
