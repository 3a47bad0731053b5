package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.budget.Reservation;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.core.program.UnloggedTurn;
import io.magnoliaroute.core.schedule.CallEnding;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.ServiceUnits;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.core.schedule.WaitingCall;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.daemon.engine.ChatRequest;
import io.magnoliaroute.daemon.engine.EngineAnswer;
import io.magnoliaroute.daemon.engine.EngineCall;
import io.magnoliaroute.daemon.engine.EngineFailure;
import io.magnoliaroute.daemon.engine.EngineListener;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.ProblemException;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.daemon.slot.LocalSlots;
import io.magnoliaroute.daemon.slot.SlotListener;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.Set;

/**
 * One model turn at the partition owner: slot, stream, history, final event. It is used on the
 * context of its sink; answers from elsewhere are moved there first.
 */
final class TurnRun implements SlotListener, EngineListener {

  private static final int MAX_ATTEMPTS = 3;
  private static final long NO_TIMER = -1;
  private static final long RETRY_DELAY_MS = 50;
  // A turn is answered as unlogged when the log has not confirmed it by then.
  private static final long LOG_WAIT_MS = 1_000;
  // Several handovers fit into the wait for the log, so that a lost message does not matter.
  private static final long HANDOVER_MS = 100;

  private final ProgramServices services;
  private final PartitionHost host;
  private final TurnPlan plan;
  private final ChatRequest chat;
  private final ReplySink sink;
  private final TurnReply reply;
  private final Runnable onEnd;
  private final Context context;
  private final String group;
  private final long arrivedMs;
  private final StringBuilder textBefore = new StringBuilder();
  private final TurnBudget budget;
  private final Set<EndpointId> failedEndpoints = new HashSet<>();
  private CallId call;
  private int attempt;
  private int attemptsMade;
  private boolean engineUsed;
  private SlotUse slot;
  private EngineCall running;
  private int tokensBefore;
  private long deadlineTimer = NO_TIMER;
  private boolean urgentDemoted;
  private boolean ended;

  TurnRun(
      ProgramServices services,
      PartitionHost host,
      TurnPlan plan,
      ChatRequest chat,
      ReplySink sink,
      Runnable onEnd) {
    this.services = services;
    this.host = host;
    this.plan = plan;
    this.chat = chat;
    this.sink = sink;
    this.reply = new TurnReply(sink, chat, plan.view().id().value());
    this.onEnd = onEnd;
    this.context = sink.context();
    this.group = LocalSlots.groupOf(plan.pool());
    this.arrivedMs = services.nowMs();
    this.budget =
        new TurnBudget(
            services.budgets(), plan.view().team(), plan.maxPromptTokens(), chat.maxTokens());
    this.attempt = services.random().nextInt(1 << 20);
  }

  void start() {
    sink.onClose(this::callerLeft);
    reserveAttempt();
  }

  /** Ends the turn because its program ended. */
  void cancel() {
    context.runOnContext(
        run -> abort(Problem.of(ProblemCode.PROGRAM_ENDED, "the program was cancelled")));
  }

  @Override
  public void onGranted(SlotGrant granted) {
    context.runOnContext(run -> send(granted));
  }

  @Override
  public void onRefused(String reason, long retryAfterMs) {
    context.runOnContext(
        run -> {
          if (engineUsed) {
            fail(Problem.of(ProblemCode.ENDPOINT_FAILED, "no slot for a retry: " + reason));
          } else {
            fail(new Problem(ProblemCode.OVERLOADED, reason, retryAfterMs));
          }
        });
  }

  @Override
  public void onPreempted(long grantId) {
    context.runOnContext(run -> preemptNow(grantId));
  }

  @Override
  public void onTokens(Buffer events, int tokensSoFar) {
    long nowMs = services.nowMs();
    if (slot.isFirstToken() && attemptsMade == 1 && tokensBefore == 0) {
      services
          .metrics()
          .time("first_token_ms", plan.view().team(), plan.view().priority(), nowMs - arrivedMs);
    }
    slot.tokens(tokensSoFar, nowMs);
    reply.tokens(events);
    if (chat.stream() && sink.isFull()) {
      running.pause();
      sink.onDrain(running::resume);
    }
  }

  @Override
  public void onAnswer(EngineAnswer answer) {
    slot.tokens(answer.answerTokens(), services.nowMs());
    release(CallEnding.COMPLETED, answer.cachedTokens());
    running = null;
    services.retries().succeeded(plan.view().team(), plan.pool().id(), services.nowMs());
    budget.settle((long) answer.promptTokens() + answer.answerTokens());
    EngineAnswer whole = answer.after(textBefore.toString(), tokensBefore);
    int cached = whole.promptTokens() + whole.answerTokens();
    services.memory().noteCached(plan.view().id(), slot.endpoint(), cached);
    record(whole);
  }

  @Override
  public void onFailure(EngineFailure failure) {
    services.metrics().count("engine_failures", "kind", failure.kind().name());
    failedEndpoints.add(slot.endpoint());
    boolean sent = failure.kind() != EngineFailure.Kind.NOT_SENT;
    engineUsed |= sent;
    keepText();
    running = null;
    if (sent) {
      budget.chargeWhole();
    } else {
      budget.refund();
    }
    release(CallEnding.FAILED, 0);
    if (failure.kind() == EngineFailure.Kind.BROKEN) {
      noteCrash();
    }
    retryOrFail(failure);
  }

  private void reserveAttempt() {
    if (!ended) {
      budget
          .reserve(textBefore.toString())
          .onComplete(done -> context.runOnContext(run -> reserved(done)));
    }
  }

  private void reserved(AsyncResult<Reservation> done) {
    if (done.failed()) {
      Problem problem = ProblemException.of(done.cause());
      fail(
          engineUsed
              ? Problem.of(ProblemCode.ENDPOINT_FAILED, "no retry: " + problem.detail())
              : problem);
      return;
    }
    if (ended) {
      budget.refund(done.result());
      return;
    }
    budget.begin(done.result());
    if (deadlineTimer == NO_TIMER) {
      startDeadline();
    }
    requestSlot();
  }

  private void requestSlot() {
    attempt++;
    attemptsMade++;
    call = new CallId(plan.view().id(), plan.number(), attempt);
    ProgramMemory memory = services.memory();
    WaitingCall waiting =
        WaitingCall.builder(call, plan.view().team(), services.dataCentre())
            .rootProgram(plan.root())
            .teamShare(plan.team().share())
            .urgentRation(plan.team().urgentRation())
            .priority(plan.view().priority())
            .times(arrivedMs, deadlineMs())
            .prompt(plan.promptTokens(), memory.cachedTokens(plan.view().id()))
            .avoidedEndpoints(avoidedEndpoints())
            .attainedServiceUnits(memory.serviceUnits(plan.root()))
            .underWay(plan.number() > 0)
            .model(chat.model())
            .idempotent(true)
            .build();
    services.slots().request(group, waiting, this);
  }

  private Set<EndpointId> avoidedEndpoints() {
    Set<EndpointId> avoided = new HashSet<>(failedEndpoints);
    avoided.addAll(services.retries().crashedEndpoints(plan.fingerprint(), services.nowMs()));
    return avoided;
  }

  private long deadlineMs() {
    return plan.view().deadlineAtMs() == 0 ? Long.MAX_VALUE : plan.view().deadlineAtMs();
  }

  private void send(SlotGrant granted) {
    EndpointSettings endpoint = services.settings().current().endpoints().get(granted.endpoint());
    if (ended || endpoint == null || !granted.call().equals(call)) {
      CallEnding ending = ended ? CallEnding.CANCELLED : CallEnding.FAILED;
      services
          .slots()
          .release(group, granted.call(), CallResult.withoutTokens(granted.grantId(), ending));
      if (!ended && granted.call().equals(call)) {
        budget.refund();
        retryOrFail(new EngineFailure(EngineFailure.Kind.NOT_SENT, "the endpoint was removed"));
      }
      return;
    }
    urgentDemoted |= granted.urgentDemoted();
    slot = new SlotUse(services.slots(), group, granted, services.nowMs());
    services
        .metrics()
        .time("wait_ms", plan.view().team(), plan.view().priority(), services.nowMs() - arrivedMs);
    running =
        services
            .engines()
            .call(endpoint, call, chat, plan.conversation(), textBefore.toString(), this);
  }

  private void preemptNow(long grantId) {
    if (!isRunning(grantId)) {
      return;
    }
    budget
        .reserveResumption()
        .onComplete(done -> context.runOnContext(run -> preemptReserved(grantId, done)));
  }

  /** A stream whose resumption the team cannot pay for goes on. */
  private void preemptReserved(long grantId, AsyncResult<Reservation> done) {
    if (done.failed()) {
      services.metrics().count("preemptions_without_budget");
      return;
    }
    if (!isRunning(grantId)) {
      budget.refund(done.result());
      return;
    }
    services.metrics().count("preemptions");
    keepText();
    running.cancel();
    running = null;
    budget.chargeWhole();
    budget.begin(done.result());
    release(CallEnding.PREEMPTED, 0);
  }

  private boolean isRunning(long grantId) {
    return !ended && running != null && slot.isOf(grantId);
  }

  private void keepText() {
    if (running != null) {
      textBefore.append(running.textSoFar());
      tokensBefore += running.tokensSoFar();
    }
  }

  private void noteCrash() {
    services
        .retries()
        .crashed(plan.fingerprint(), slot.endpoint(), services.nowMs())
        .ifPresent(order -> services.control().quarantine(order.fingerprint(), order.untilMs()));
  }

  private void retryOrFail(EngineFailure failure) {
    if (ended) {
      return;
    }
    long nowMs = services.nowMs();
    boolean quarantined = services.retries().refused(plan.fingerprint(), nowMs);
    boolean mayRetry =
        !quarantined
            && attemptsMade < MAX_ATTEMPTS
            && nowMs < deadlineMs()
            && services.retries().mayRetry(plan.view().team(), plan.pool().id(), nowMs);
    if (mayRetry) {
      services.metrics().count("retries");
      long delayMs = 1 + services.random().nextLong(RETRY_DELAY_MS * attemptsMade);
      services.vertx().setTimer(delayMs, timer -> context.runOnContext(run -> reserveAttempt()));
      return;
    }
    ProblemCode code = engineUsed ? ProblemCode.ENDPOINT_FAILED : ProblemCode.ENDPOINT_UNREACHABLE;
    fail(Problem.of(code, failure.kind() + ": " + failure.detail()));
  }

  private void record(EngineAnswer answer) {
    Turn turn =
        new Turn(
            plan.number(),
            attemptsMade - 1,
            plan.stored(),
            Conversation.bytes(answer.message()),
            answer.promptTokens(),
            answer.answerTokens());
    UnloggedTurn completed = new UnloggedTurn(host.partition(), plan.view().id(), turn);
    Future<Applied> applied = host.appendTurn(completed);
    long timer =
        services
            .vertx()
            .setTimer(LOG_WAIT_MS, fired -> context.runOnContext(run -> finish(answer, false)));
    long handover = services.vertx().setPeriodic(HANDOVER_MS, fired -> handOver());
    applied.onComplete(
        done -> {
          services.vertx().cancelTimer(timer);
          services.vertx().cancelTimer(handover);
          if (done.succeeded() && done.result().accepted()) {
            context.runOnContext(run -> finish(answer, true));
          } else {
            context.runOnContext(run -> historyRefused());
          }
        });
  }

  /** Gives the turn to the new owner of the partition, and looks for it in the log. */
  private void handOver() {
    if (!host.isOwner()) {
      services.mirror().unlogged(host.partition(), plan.view().id());
      host.catchUp().onFailure(failure -> services.metrics().count("handover_read_failures"));
    }
  }

  private void finish(EngineAnswer answer, boolean logged) {
    if (ended) {
      return;
    }
    end();
    services.metrics().count(logged ? "turns_logged" : "turns_unlogged");
    if (!logged) {
      services.mirror().unlogged(host.partition(), plan.view().id());
    }
    services
        .metrics()
        .time("turn_ms", plan.view().team(), plan.view().priority(), services.nowMs() - arrivedMs);
    reply.done(answer, plan.number(), logged, urgentDemoted);
  }

  private void historyRefused() {
    if (!ended) {
      end();
      services.metrics().count("turns_refused_by_log");
      reply.problem(
          Problem.of(ProblemCode.OWNER_CHANGED, "the history of the turn was not accepted"));
    }
  }

  private void release(CallEnding ending, int cachedTokens) {
    services
        .memory()
        .addService(
            plan.root(),
            ServiceUnits.of(Math.max(0, plan.promptTokens() - cachedTokens), slot.tokens()));
    slot.release(ending, cachedTokens);
  }

  private void startDeadline() {
    if (deadlineMs() == Long.MAX_VALUE) {
      return;
    }
    long leftMs = deadlineMs() - services.nowMs();
    deadlineTimer =
        services
            .vertx()
            .setTimer(Math.max(1, leftMs), fired -> context.runOnContext(run -> deadlinePassed()));
  }

  /** Gives up a call that waits; one that runs is not dropped. */
  private void deadlinePassed() {
    if (!ended && running == null && slot == null) {
      abort(Problem.of(ProblemCode.DEADLINE_PASSED, "no slot before the deadline"));
    }
  }

  private void callerLeft() {
    if (!ended) {
      services.metrics().count("callers_left");
      abort(Problem.of(ProblemCode.INTERNAL, "the caller left"));
    }
  }

  private void abort(Problem problem) {
    if (ended) {
      return;
    }
    if (running != null) {
      keepText();
      running.cancel();
      running = null;
      budget.chargeWhole();
      release(CallEnding.CANCELLED, 0);
    } else if (call != null) {
      services.slots().cancel(group, call);
    }
    fail(problem);
  }

  private void fail(Problem problem) {
    if (ended) {
      return;
    }
    host.read(
        held -> {
          held.history().release(plan.view().id());
          return null;
        });
    budget.refund();
    end();
    services.metrics().count("turns_failed", "code", problem.code().code());
    reply.problem(problem);
  }

  private void end() {
    ended = true;
    services.vertx().cancelTimer(deadlineTimer);
    onEnd.run();
  }
}
