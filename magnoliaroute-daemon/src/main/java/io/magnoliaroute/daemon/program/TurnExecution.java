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
import io.magnoliaroute.daemon.engine.EndpointFailure;
import io.magnoliaroute.daemon.engine.EngineCall;
import io.magnoliaroute.daemon.engine.EngineListener;
import io.magnoliaroute.daemon.engine.EngineResponse;
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
 * Executes one model turn at the partition owner: requests a slot, streams the response, appends
 * the turn to the history and sends the final event. Runs on the context of its sink; callbacks
 * from other contexts are dispatched to it first.
 */
final class TurnExecution implements SlotListener, EngineListener {

  private static final int MAX_ATTEMPTS = 3;
  private static final long NO_TIMER = -1;
  private static final long RETRY_DELAY_STEP_MS = 50;
  // A turn that the log has not confirmed after this time is reported as unlogged.
  private static final long LOG_TIMEOUT_MS = 1_000;
  // Several handovers fit into the log timeout, so that a lost message is sent again.
  private static final long HANDOVER_INTERVAL_MS = 100;

  private final ProgramDependencies dependencies;
  private final PartitionHost host;
  private final TurnPlan plan;
  private final ChatRequest chat;
  private final ReplySink sink;
  private final TurnResponseWriter responseWriter;
  private final Runnable onEnd;
  private final Context context;
  private final String group;
  private final long receivedAtMs;
  private final StringBuilder partialText = new StringBuilder();
  private final TurnBudget budget;
  private final Set<EndpointId> failedEndpoints = new HashSet<>();
  private CallId call;
  private int attempt;
  private int attemptsMade;
  private boolean sentToEngine;
  private ActiveGrant activeGrant;
  private EngineCall engineCall;
  private int partialTokens;
  private long deadlineTimer = NO_TIMER;
  private boolean urgentDemoted;
  private boolean ended;

  TurnExecution(
      ProgramDependencies dependencies,
      PartitionHost host,
      TurnPlan plan,
      ChatRequest chat,
      ReplySink sink,
      Runnable onEnd) {
    this.dependencies = dependencies;
    this.host = host;
    this.plan = plan;
    this.chat = chat;
    this.sink = sink;
    this.responseWriter = new TurnResponseWriter(sink, chat, plan.view().id().value());
    this.onEnd = onEnd;
    this.context = sink.context();
    this.group = LocalSlots.groupOf(plan.pool());
    this.receivedAtMs = dependencies.nowMs();
    this.budget =
        new TurnBudget(
            dependencies.budgets(), plan.view().team(), plan.maxPromptTokens(), chat.maxTokens());
    this.attempt = dependencies.random().nextInt(1 << 20);
  }

  void start() {
    sink.onClose(this::onCallerDisconnected);
    reserveAttempt();
  }

  /** Cancels the turn because its program has been cancelled. */
  void cancel() {
    context.runOnContext(
        ignored -> abort(Problem.of(ProblemCode.PROGRAM_ENDED, "the program was cancelled")));
  }

  @Override
  public void onGranted(SlotGrant grant) {
    context.runOnContext(ignored -> send(grant));
  }

  @Override
  public void onRefused(String reason, long retryAfterMs) {
    context.runOnContext(
        ignored -> {
          if (sentToEngine) {
            fail(Problem.of(ProblemCode.ENDPOINT_FAILED, "no slot for a retry: " + reason));
          } else {
            fail(new Problem(ProblemCode.OVERLOADED, reason, retryAfterMs));
          }
        });
  }

  @Override
  public void onPreempted(long grantId) {
    context.runOnContext(ignored -> requestPreemption(grantId));
  }

  @Override
  public void onTokens(Buffer events, int tokensSoFar) {
    long nowMs = dependencies.nowMs();
    if (activeGrant.isAwaitingFirstToken() && attemptsMade == 1 && partialTokens == 0) {
      dependencies
          .metrics()
          .recordDuration(
              "first_token_ms", plan.view().team(), plan.view().priority(), nowMs - receivedAtMs);
    }
    activeGrant.recordTokens(tokensSoFar, nowMs);
    responseWriter.writeTokens(events);
    if (chat.stream() && sink.isFull()) {
      engineCall.pause();
      sink.onDrain(engineCall::resume);
    }
  }

  @Override
  public void onResponse(EngineResponse response) {
    activeGrant.recordTokens(response.completionTokens(), dependencies.nowMs());
    release(CallEnding.COMPLETED, response.cachedTokens());
    engineCall = null;
    dependencies
        .retries()
        .recordSuccess(plan.view().team(), plan.pool().id(), dependencies.nowMs());
    budget.settle((long) response.promptTokens() + response.completionTokens());
    EngineResponse fullResponse = response.withPrefix(partialText.toString(), partialTokens);
    int cached = fullResponse.promptTokens() + fullResponse.completionTokens();
    dependencies.hints().recordCachedPrefix(plan.view().id(), activeGrant.endpoint(), cached);
    appendHistory(fullResponse);
  }

  @Override
  public void onFailure(EndpointFailure failure) {
    dependencies.metrics().increment("engine_failures", "kind", failure.kind().name());
    failedEndpoints.add(activeGrant.endpoint());
    boolean sent = failure.kind() != EndpointFailure.Kind.NOT_SENT;
    sentToEngine |= sent;
    keepPartialResponse();
    engineCall = null;
    if (sent) {
      budget.chargeInFull();
    } else {
      budget.refund();
    }
    release(CallEnding.FAILED, 0);
    if (failure.kind() == EndpointFailure.Kind.BROKEN) {
      recordCrash();
    }
    retryOrFail(failure);
  }

  private void reserveAttempt() {
    if (!ended) {
      budget
          .reserve(partialText.toString())
          .onComplete(result -> context.runOnContext(ignored -> onReserved(result)));
    }
  }

  private void onReserved(AsyncResult<Reservation> result) {
    if (result.failed()) {
      Problem problem = ProblemException.problemOf(result.cause());
      fail(
          sentToEngine
              ? Problem.of(ProblemCode.ENDPOINT_FAILED, "no retry: " + problem.detail())
              : problem);
      return;
    }
    if (ended) {
      budget.refund(result.result());
      return;
    }
    budget.beginAttempt(result.result());
    if (deadlineTimer == NO_TIMER) {
      startDeadline();
    }
    requestSlot();
  }

  private void requestSlot() {
    attempt++;
    attemptsMade++;
    call = new CallId(plan.view().id(), plan.number(), attempt);
    ProgramHints hints = dependencies.hints();
    WaitingCall waiting =
        WaitingCall.builder(call, plan.view().team(), dependencies.dataCentre())
            .rootProgram(plan.root())
            .teamShare(plan.team().share())
            .urgentRation(plan.team().urgentRation())
            .priority(plan.view().priority())
            .times(receivedAtMs, deadlineMs())
            .prompt(plan.promptTokens(), hints.cachedTokens(plan.view().id()))
            .avoidedEndpoints(avoidedEndpoints())
            .attainedServiceUnits(hints.serviceUnits(plan.root()))
            .underWay(plan.number() > 0)
            .model(chat.model())
            .idempotent(true)
            .build();
    dependencies.slots().request(group, waiting, this);
  }

  private Set<EndpointId> avoidedEndpoints() {
    Set<EndpointId> avoided = new HashSet<>(failedEndpoints);
    avoided.addAll(
        dependencies.retries().crashedEndpoints(plan.fingerprint(), dependencies.nowMs()));
    return avoided;
  }

  private long deadlineMs() {
    return plan.view().deadlineAtMs() == 0 ? Long.MAX_VALUE : plan.view().deadlineAtMs();
  }

  private void send(SlotGrant grant) {
    EndpointSettings endpoint =
        dependencies.settings().current().endpointsById().get(grant.endpoint());
    if (ended || endpoint == null || !grant.call().equals(call)) {
      CallEnding ending = ended ? CallEnding.CANCELLED : CallEnding.FAILED;
      dependencies
          .slots()
          .release(group, grant.call(), CallResult.withoutTokens(grant.grantId(), ending));
      if (!ended && grant.call().equals(call)) {
        budget.refund();
        retryOrFail(new EndpointFailure(EndpointFailure.Kind.NOT_SENT, "the endpoint was removed"));
      }
      return;
    }
    urgentDemoted |= grant.urgentDemoted();
    activeGrant = new ActiveGrant(dependencies.slots(), group, grant, dependencies.nowMs());
    dependencies
        .metrics()
        .recordDuration(
            "wait_ms",
            plan.view().team(),
            plan.view().priority(),
            dependencies.nowMs() - receivedAtMs);
    engineCall =
        dependencies
            .engineClient()
            .call(endpoint, call, chat, plan.conversation(), partialText.toString(), this);
  }

  private void requestPreemption(long grantId) {
    if (!isCallRunning(grantId)) {
      return;
    }
    budget
        .reserveResumption()
        .onComplete(result -> context.runOnContext(ignored -> preempt(grantId, result)));
  }

  /** Preempts the call, unless the team's budget does not cover its resumption. */
  private void preempt(long grantId, AsyncResult<Reservation> result) {
    if (result.failed()) {
      dependencies.metrics().increment("preemptions_without_budget");
      return;
    }
    if (!isCallRunning(grantId)) {
      budget.refund(result.result());
      return;
    }
    dependencies.metrics().increment("preemptions");
    keepPartialResponse();
    engineCall.cancel();
    engineCall = null;
    budget.chargeInFull();
    budget.beginAttempt(result.result());
    release(CallEnding.PREEMPTED, 0);
  }

  private boolean isCallRunning(long grantId) {
    return !ended && engineCall != null && activeGrant.hasGrantId(grantId);
  }

  private void keepPartialResponse() {
    if (engineCall != null) {
      partialText.append(engineCall.textSoFar());
      partialTokens += engineCall.tokensSoFar();
    }
  }

  private void recordCrash() {
    dependencies
        .retries()
        .recordCrash(plan.fingerprint(), activeGrant.endpoint(), dependencies.nowMs())
        .ifPresent(
            entry -> dependencies.controlLog().quarantine(entry.fingerprint(), entry.untilMs()));
  }

  private void retryOrFail(EndpointFailure failure) {
    if (ended) {
      return;
    }
    long nowMs = dependencies.nowMs();
    boolean quarantined = dependencies.retries().isQuarantined(plan.fingerprint(), nowMs);
    boolean mayRetry =
        !quarantined
            && attemptsMade < MAX_ATTEMPTS
            && nowMs < deadlineMs()
            && dependencies.retries().tryAcquireRetry(plan.view().team(), plan.pool().id(), nowMs);
    if (mayRetry) {
      dependencies.metrics().increment("retries");
      long delayMs = 1 + dependencies.random().nextLong(RETRY_DELAY_STEP_MS * attemptsMade);
      dependencies
          .vertx()
          .setTimer(delayMs, timerId -> context.runOnContext(ignored -> reserveAttempt()));
      return;
    }
    ProblemCode code =
        sentToEngine ? ProblemCode.ENDPOINT_FAILED : ProblemCode.ENDPOINT_UNREACHABLE;
    fail(Problem.of(code, failure.kind() + ": " + failure.detail()));
  }

  private void appendHistory(EngineResponse response) {
    Turn turn =
        new Turn(
            plan.number(),
            attemptsMade - 1,
            plan.storedRequest(),
            Conversation.encode(response.message()),
            response.promptTokens(),
            response.completionTokens());
    UnloggedTurn completed = new UnloggedTurn(host.partition(), plan.view().id(), turn);
    Future<AppendResult> appended = host.appendTurn(completed);
    long timer =
        dependencies
            .vertx()
            .setTimer(
                LOG_TIMEOUT_MS,
                timerId -> context.runOnContext(ignored -> complete(response, false)));
    long handover =
        dependencies.vertx().setPeriodic(HANDOVER_INTERVAL_MS, timerId -> handOverTurn());
    appended.onComplete(
        result -> {
          dependencies.vertx().cancelTimer(timer);
          dependencies.vertx().cancelTimer(handover);
          if (result.succeeded() && result.result().isAccepted()) {
            context.runOnContext(ignored -> complete(response, true));
          } else {
            context.runOnContext(ignored -> onHistoryRejected());
          }
        });
  }

  /** Sends the turn to the new owner of the partition and reads the log, which may contain it. */
  private void handOverTurn() {
    if (!host.isOwner()) {
      dependencies.historyMirror().mirrorUnloggedTurns(host.partition(), plan.view().id());
      host.catchUp()
          .onFailure(failure -> dependencies.metrics().increment("handover_read_failures"));
    }
  }

  private void complete(EngineResponse response, boolean logged) {
    if (ended) {
      return;
    }
    end();
    dependencies.metrics().increment(logged ? "turns_logged" : "turns_unlogged");
    if (!logged) {
      dependencies.historyMirror().mirrorUnloggedTurns(host.partition(), plan.view().id());
    }
    dependencies
        .metrics()
        .recordDuration(
            "turn_ms",
            plan.view().team(),
            plan.view().priority(),
            dependencies.nowMs() - receivedAtMs);
    responseWriter.complete(response, plan.number(), logged, urgentDemoted);
  }

  private void onHistoryRejected() {
    if (!ended) {
      end();
      dependencies.metrics().increment("turns_refused_by_log");
      responseWriter.fail(
          Problem.of(ProblemCode.OWNER_CHANGED, "the history of the turn was not accepted"));
    }
  }

  private void release(CallEnding ending, int cachedTokens) {
    dependencies
        .hints()
        .addServiceUnits(
            plan.root(),
            ServiceUnits.of(Math.max(0, plan.promptTokens() - cachedTokens), activeGrant.tokens()));
    activeGrant.release(ending, cachedTokens);
  }

  private void startDeadline() {
    if (deadlineMs() == Long.MAX_VALUE) {
      return;
    }
    long remainingMs = deadlineMs() - dependencies.nowMs();
    deadlineTimer =
        dependencies
            .vertx()
            .setTimer(
                Math.max(1, remainingMs), timerId -> context.runOnContext(ignored -> onDeadline()));
  }

  /** Aborts a turn that has not been granted a slot yet; a running call continues. */
  private void onDeadline() {
    if (!ended && engineCall == null && activeGrant == null) {
      abort(Problem.of(ProblemCode.DEADLINE_PASSED, "no slot before the deadline"));
    }
  }

  private void onCallerDisconnected() {
    if (!ended) {
      dependencies.metrics().increment("callers_left");
      abort(Problem.of(ProblemCode.INTERNAL, "the caller left"));
    }
  }

  private void abort(Problem problem) {
    if (ended) {
      return;
    }
    if (engineCall != null) {
      keepPartialResponse();
      engineCall.cancel();
      engineCall = null;
      budget.chargeInFull();
      release(CallEnding.CANCELLED, 0);
    } else if (call != null) {
      dependencies.slots().cancel(group, call);
    }
    fail(problem);
  }

  private void fail(Problem problem) {
    if (ended) {
      return;
    }
    host.withLock(
        core -> {
          core.history().release(plan.view().id());
          return null;
        });
    budget.refund();
    end();
    dependencies.metrics().increment("turns_failed", "code", problem.code().code());
    responseWriter.fail(problem);
  }

  private void end() {
    ended = true;
    dependencies.vertx().cancelTimer(deadlineTimer);
    onEnd.run();
  }
}
