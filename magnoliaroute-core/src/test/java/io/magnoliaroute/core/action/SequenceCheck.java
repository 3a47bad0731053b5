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

/** Checks a finished sequence against the replies to callers and the executions of the service. */
final class SequenceCheck {

  /** The number of records that may be appended too late for a VM to read them before the end. */
  private static final long MAX_LAG_RECORDS = 10;

  private final SequenceRun run;
  private final List<String> violations = new ArrayList<>();

  SequenceCheck(SequenceRun run) {
    this.run = run;
  }

  List<String> violations() throws MalformedRecordException {
    Map<String, List<FakeService.Execution>> executions =
        run.service.executions().stream()
            .collect(Collectors.groupingBy(FakeService.Execution::key));
    executions.forEach(
        (key, all) ->
            check(all.size() <= 1, "G7 " + key + " was executed " + all.size() + " times"));
    for (SimCaller caller : run.callers) {
      for (SimCaller.ReceivedReply received : caller.receivedReplies) {
        checkReceivedReply(received, executions.getOrDefault(received.key(), List.of()));
      }
      checkSameOutcome(caller);
      check(
          new HashSet<>(caller.startedPrograms).size() <= 1,
          "one client key started more than one program");
    }
    checkHistories();
    return violations;
  }

  private void checkReceivedReply(
      SimCaller.ReceivedReply received, List<FakeService.Execution> executions) {
    Outcome outcome = received.reply().outcome();
    if (outcome == Outcome.DONE) {
      boolean executed =
          executions.stream().anyMatch(each -> each.result().equals(received.reply().result()));
      check(executed, "DONE without a matching execution: " + received);
    }
    for (FakeService.Execution execution : executions) {
      boolean sameRequest = execution.attempt() == received.attempt();
      boolean executedBefore = execution.executedAtMs() < received.arrivedAtMs();
      boolean isNotRun = outcome == Outcome.NOT_RUN;
      check(
          !isNotRun || !(sameRequest || executedBefore),
          "G6 " + received + " contradicts " + execution);
      boolean sentAfterOther =
          received.reply().reason() == ActionReason.RECORDED_BEFORE
              && !received.vm().equals(execution.vm())
              && execution.sentAtMs() > received.receivedAtMs();
      check(
          run.pausesBeforeSend || !sentAfterOther,
          "sent by another VM after " + received + ": " + execution);
    }
  }

  private void checkSameOutcome(SimCaller caller) {
    Map<String, Set<Bytes>> results =
        caller.receivedReplies.stream()
            .filter(received -> received.reply().outcome() == Outcome.DONE)
            .collect(
                Collectors.groupingBy(
                    SimCaller.ReceivedReply::key,
                    Collectors.mapping(received -> received.reply().result(), Collectors.toSet())));
    results.forEach(
        (key, all) -> check(all.size() == 1, "different results for " + key + ": " + all));
    Set<String> repliedRequests = new HashSet<>();
    for (SimCaller.ReceivedReply received : caller.receivedReplies) {
      check(
          repliedRequests.add(received.key() + "/" + received.attempt()),
          "more than one reply to a request: " + received);
    }
  }

  private void checkHistories() throws MalformedRecordException {
    long end = run.log.allEntries().size() - 1L;
    PartitionState fullState = readUpTo(end);
    checkLoggedTurns(fullState, "state of the whole log");
    check(fullState.openIntents().isEmpty(), "open intents: " + fullState.openIntents());
    PartitionState restarted = readFromSnapshot();
    check(
        restarted.entries().equals(fullState.entries()),
        "state restored from the snapshot differs from the whole log");
    for (SimVm vm : run.vms) {
      long readUpTo = vm.reader.state().lastOffset();
      check(
          vm.hasCrashed() || end - readUpTo < MAX_LAG_RECORDS,
          vm.name + " lags behind the log, last offset read " + readUpTo);
      boolean same = vm.reader.state().entries().equals(readUpTo(readUpTo).entries());
      check(vm.hasCrashed() || same, "state of " + vm.name + " differs from the log");
      check(vm.hasCrashed() || vm.openFlows() == 0, vm.name + " has unfinished flows");
    }
  }

  private PartitionState readUpTo(long lastOffset) throws MalformedRecordException {
    PartitionState state = new PartitionState();
    for (LogEntry entry : run.log.allEntries()) {
      if (entry.offset() <= lastOffset) {
        var record = ProgramRecordCodec.fromLogRecord(LogRecordCodec.decode(entry.payload()));
        state.apply(entry.offset(), record.orElseThrow());
      }
    }
    return state;
  }

  private void checkLoggedTurns(PartitionState state, String source) {
    for (SimCaller caller : run.callers) {
      for (SimCaller.LoggedTurn logged : caller.loggedTurns) {
        List<Turn> turns =
            state.program(logged.program()).map(ProgramView::turns).orElse(List.of());
        boolean present =
            logged.number() < turns.size()
                && turns.get(logged.number()).request().toUtf8().equals(logged.content());
        check(present, "G2 " + source + " does not contain " + logged);
      }
    }
    state
        .livePrograms()
        .forEach(program -> checkTurnContents(state.program(program).orElseThrow()));
  }

  private void checkTurnContents(ProgramView program) {
    for (int i = 0; i < program.turns().size(); i++) {
      String content = program.turns().get(i).request().toUtf8();
      check(content.startsWith(program.id() + ":" + i + ":"), "G1/G2 " + content + " at turn " + i);
      String previous = i == 0 ? "" : program.turns().get(i - 1).request().toUtf8();
      String answer = program.turns().get(i).answer().toUtf8();
      check(answer.endsWith("<" + previous), "G1 turn " + i + " after " + previous + ": " + answer);
    }
  }

  private PartitionState readFromSnapshot() {
    PartitionReader reader = new PartitionReader("program-0", 16);
    for (int i = 0; i < 10_000; i++) {
      ReadRequest request = reader.nextRead();
      LogPage page = run.log.pageAt(request);
      if (page == null) {
        reader.onReadFailed(LogException.Kind.OFFSET_EXPIRED);
        continue;
      }
      reader.accept(request, page, i);
      if (reader.caughtUpAtMs().isPresent()) {
        return reader.state();
      }
    }
    violations.add("new reader found no complete snapshot");
    return reader.state();
  }

  private void check(boolean condition, String violation) {
    if (!condition) {
      violations.add(violation);
    }
  }
}
