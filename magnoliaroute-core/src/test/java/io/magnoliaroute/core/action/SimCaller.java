package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.Verdict;
import java.util.ArrayList;
import java.util.List;

/**
 * A simulated caller with one program. It requests turns and actions, and repeats actions, mostly
 * those without a DONE reply.
 */
final class SimCaller {

  private static final long MIN_DEADLINE_MS = 1_000;
  private static final long MAX_DEADLINE_MS = 4_000;
  private static final int MAX_ATTEMPTS = 5;

  /** The reply that the caller received to one request for an action. */
  record ReceivedReply(
      String key, int attempt, long arrivedAtMs, long receivedAtMs, String vm, ActionReply reply) {}

  /** A turn that was acknowledged to the caller as logged. */
  record LoggedTurn(ProgramId program, int number, String content) {}

  final List<ReceivedReply> receivedReplies = new ArrayList<>();
  final List<LoggedTurn> loggedTurns = new ArrayList<>();
  final List<ProgramId> startedPrograms = new ArrayList<>();
  private final int number;
  private final SequenceRun run;
  private ProgramId program;
  private int starts;
  private int nextTurn;
  private int turnAttempts;
  private int actions;

  SimCaller(int number, SequenceRun run) {
    this.number = number;
    this.run = run;
    run.time.schedule(run.time.randomBetween(1, 400), this::start);
  }

  private void start() {
    if (program != null) {
      return;
    }
    ProgramId candidate = new ProgramId("p-" + number + "-" + starts++);
    run.selectVm().start(candidate, "client-" + number, verdict -> onStarted(candidate, verdict));
    run.time.schedule(600, this::start);
  }

  private void onStarted(ProgramId candidate, Verdict verdict) {
    ProgramId startedProgram = null;
    if (verdict.isAccepted()) {
      startedProgram = candidate;
    } else if (verdict instanceof Verdict.AlreadyStarted alreadyStarted) {
      startedProgram = alreadyStarted.program();
    }
    if (startedProgram == null) {
      return;
    }
    startedPrograms.add(startedProgram);
    if (program == null) {
      program = startedProgram;
      run.time.schedule(10, this::turn);
      run.time.schedule(30, this::newAction);
    }
  }

  private void turn() {
    int turn = nextTurn;
    String content = program + ":" + turn + ":" + turnAttempts++;
    run.selectVm()
        .turn(
            program,
            turn,
            content,
            reply -> {
              if (reply.isLogged()) {
                loggedTurns.add(new LoggedTurn(program, turn, content));
              }
              nextTurn = reply.nextTurn();
            });
    if (run.faultsEnabled()) {
      run.time.schedule(run.time.randomBetween(100, 900), this::turn);
    } else if (run.time.randomBoolean(0.5)) {
      run.selectVm().end(program);
    }
  }

  private void newAction() {
    String key = "key-" + number + "-" + actions++;
    attempt(key, 0);
    if (run.faultsEnabled()) {
      run.time.schedule(run.time.randomBetween(100, 1_500), this::newAction);
    }
  }

  private void attempt(String key, int attempt) {
    request(key, attempt);
    int nextAttempt = attempt + 1;
    if (run.time.randomBoolean(0.15)) {
      request(key, nextAttempt);
      nextAttempt++;
    }
    int repeatAttempt = nextAttempt;
    if (repeatAttempt < MAX_ATTEMPTS) {
      run.time.schedule(run.time.randomBetween(200, 4_000), () -> repeat(key, repeatAttempt));
    }
  }

  private void repeat(String key, int attempt) {
    boolean done =
        receivedReplies.stream()
            .anyMatch(each -> each.key().equals(key) && each.reply().outcome() == Outcome.DONE);
    if (run.acceptsRequests() && run.time.randomBoolean(done ? 0.3 : 0.8)) {
      attempt(key, attempt);
    }
  }

  private void request(String key, int attempt) {
    SimVm vm = run.selectVm();
    long nowMs = run.time.nowMs();
    ActionRequest request =
        new ActionRequest(
            program,
            key,
            attempt,
            "payments",
            Bytes.ofUtf8("pay " + key),
            false,
            attempt == 0,
            nowMs + run.time.randomBetween(MIN_DEADLINE_MS, MAX_DEADLINE_MS));
    vm.action(
        request,
        reply ->
            receivedReplies.add(
                new ReceivedReply(key, attempt, nowMs, run.time.nowMs(), vm.name, reply)));
  }
}
