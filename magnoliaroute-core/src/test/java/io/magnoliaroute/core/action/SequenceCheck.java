package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogRecordCodec;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.log.ReadRequest;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.program.PartitionReader;
import io.magnoliaroute.core.program.PartitionState;
import io.magnoliaroute.core.program.ProgramRecordCodec;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.program.Turn;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Judges a finished sequence by what callers were told and what the service ran. */
final class SequenceCheck {

  /** Records that may land so late that a VM has not read them when the sequence ends. */
  private static final long MAX_LAG = 10;

  private final SequenceRun run;
  private final List<String> faults = new ArrayList<>();

  SequenceCheck(SequenceRun run) {
    this.run = run;
  }

  List<String> faults() throws MalformedRecordException {
    Map<String, List<FakeService.Execution>> executions =
        run.service.executions().stream()
            .collect(Collectors.groupingBy(FakeService.Execution::key));
    executions.forEach(
        (key, all) -> check(all.size() <= 1, "G7 " + key + " ran " + all.size() + " times"));
    for (SimCaller caller : run.callers) {
      for (SimCaller.Told told : caller.told) {
        checkTold(told, executions.getOrDefault(told.key(), List.of()));
      }
      checkSameOutcome(caller);
      check(new HashSet<>(caller.startedPrograms).size() <= 1, "two programs for a client key");
    }
    checkHistories();
    return faults;
  }

  private void checkTold(SimCaller.Told told, List<FakeService.Execution> executions) {
    Outcome outcome = told.reply().outcome();
    if (outcome == Outcome.DONE) {
      boolean ran =
          executions.stream().anyMatch(each -> each.result().equals(told.reply().result()));
      check(ran, "DONE without its execution: " + told);
    }
    for (FakeService.Execution execution : executions) {
      boolean ownRequest = execution.attempt() == told.attempt();
      boolean ranBefore = execution.atMs() < told.arrivedAtMs();
      boolean notRun = outcome == Outcome.NOT_RUN;
      check(!notRun || !(ownRequest || ranBefore), "G6 " + told + " but " + execution);
      boolean sentAfterOther =
          told.reply().reason() == ActionReason.RECORDED_BEFORE
              && !told.vm().equals(execution.vm())
              && execution.sentAtMs() > told.atMs();
      check(run.pausesBeforeSend || !sentAfterOther, "sent after " + told + ": " + execution);
    }
  }

  private void checkSameOutcome(SimCaller caller) {
    Map<String, Set<Bytes>> results =
        caller.told.stream()
            .filter(told -> told.reply().outcome() == Outcome.DONE)
            .collect(
                Collectors.groupingBy(
                    SimCaller.Told::key,
                    Collectors.mapping(told -> told.reply().result(), Collectors.toSet())));
    results.forEach((key, all) -> check(all.size() == 1, "results of " + key + ": " + all));
    Set<String> answered = new HashSet<>();
    for (SimCaller.Told told : caller.told) {
      check(answered.add(told.key() + "/" + told.attempt()), "two replies: " + told);
    }
  }

  private void checkHistories() throws MalformedRecordException {
    long end = run.log.everything().size() - 1L;
    PartitionState everything = readUpTo(end);
    checkLogged(everything, "reader of everything");
    check(everything.openIntents().isEmpty(), "open intents: " + everything.openIntents());
    PartitionState restarted = readFromSnapshot();
    check(restarted.entries().equals(everything.entries()), "a snapshot reader differs");
    for (SimVm vm : run.vms) {
      long readUpTo = vm.reader.state().lastOffset();
      check(vm.crashed() || end - readUpTo < MAX_LAG, vm.name + " lags at " + readUpTo);
      boolean same = vm.reader.state().entries().equals(readUpTo(readUpTo).entries());
      check(vm.crashed() || same, "the reader of " + vm.name + " differs");
      check(vm.crashed() || vm.openFlows() == 0, vm.name + " has open flows");
    }
  }

  private PartitionState readUpTo(long lastOffset) throws MalformedRecordException {
    PartitionState state = new PartitionState();
    for (LogEntry entry : run.log.everything()) {
      if (entry.offset() <= lastOffset) {
        var record = ProgramRecordCodec.fromLogRecord(LogRecordCodec.decode(entry.payload()));
        state.apply(entry.offset(), record.orElseThrow());
      }
    }
    return state;
  }

  private void checkLogged(PartitionState state, String reader) {
    for (SimCaller caller : run.callers) {
      for (SimCaller.LoggedTurn logged : caller.logged) {
        List<Turn> turns =
            state.program(logged.program()).map(ProgramView::turns).orElse(List.of());
        boolean present =
            logged.number() < turns.size()
                && turns.get(logged.number()).request().toUtf8().equals(logged.content());
        check(present, "G2 " + reader + " lacks " + logged);
      }
    }
    state.livePrograms().forEach(program -> checkOwnContent(state.program(program).orElseThrow()));
  }

  private void checkOwnContent(ProgramView program) {
    for (int i = 0; i < program.turns().size(); i++) {
      String content = program.turns().get(i).request().toUtf8();
      check(content.startsWith(program.id() + ":" + i + ":"), "G1/G2 " + content + " at " + i);
      String previous = i == 0 ? "" : program.turns().get(i - 1).request().toUtf8();
      String answer = program.turns().get(i).answer().toUtf8();
      check(answer.endsWith("<" + previous), "G1 turn " + i + " of " + previous + ": " + answer);
    }
  }

  private PartitionState readFromSnapshot() {
    PartitionReader reader = new PartitionReader("program-0", 16);
    for (int i = 0; i < 10_000; i++) {
      ReadRequest request = reader.nextRead();
      LogPage page = run.log.pageAt(request);
      if (page == null) {
        reader.failed(LogException.Kind.OFFSET_EXPIRED);
        continue;
      }
      reader.accept(request, page, i);
      if (reader.provenAtMs().isPresent()) {
        return reader.state();
      }
    }
    faults.add("a new reader found no snapshot");
    return reader.state();
  }

  private void check(boolean holds, String fault) {
    if (!holds) {
      faults.add(fault);
    }
  }
}
