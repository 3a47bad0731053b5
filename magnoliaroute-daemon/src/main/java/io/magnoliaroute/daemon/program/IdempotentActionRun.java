package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.action.ActionEffect;
import io.magnoliaroute.core.action.ActionReply;
import io.magnoliaroute.core.action.ActionRequest;
import io.magnoliaroute.core.action.IdempotentFlow;
import io.magnoliaroute.core.action.SendFailure;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.schedule.CallEnding;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.core.schedule.WaitingCall;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.daemon.slot.LocalSlots;
import io.magnoliaroute.daemon.slot.SlotListener;
import io.vertx.core.Context;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Executes one idempotent action at the partition owner, with retries within the retry budget. */
final class IdempotentActionRun implements SlotListener {

  private static final long RETRY_DELAY_MS = 100;

  private final ProgramDependencies dependencies;
  private final ActionPlan plan;
  private final ActionRequest request;
  private final Consumer<ActionReply> onReply;
  private final Context context;
  private final IdempotentFlow flow;
  private final ServiceGateway gateway;
  private final String group;
  private int attempt;
  private CallId call;

  IdempotentActionRun(
      ProgramDependencies dependencies,
      ActionPlan plan,
      ActionRequest request,
      Context context,
      Consumer<ActionReply> onReply) {
    this.dependencies = dependencies;
    this.plan = plan;
    this.request = request;
    this.context = context;
    this.onReply = onReply;
    this.flow = new IdempotentFlow(request, ActionPlan.TIMING);
    this.gateway = new ServiceGateway(dependencies.serviceClient());
    this.group = LocalSlots.groupOf(plan.pool());
    this.attempt = dependencies.random().nextInt(1 << 20);
  }

  void start() {
    executeEffects(flow.start());
  }

  @Override
  public void onGranted(SlotGrant grant) {
    context.runOnContext(run -> sendWithGrant(grant));
  }

  @Override
  public void onRefused(String reason, long retryAfterMs) {
    context.runOnContext(
        run -> {
          call = null;
          if (!flow.isClosed()) {
            dependencies
                .vertx()
                .setTimer(
                    Math.max(RETRY_DELAY_MS, Math.min(retryAfterMs, 1_000)),
                    timer -> context.runOnContext(again -> requestSlot()));
          }
        });
  }

  @Override
  public void onPreempted(long grantId) {
    // Ignored: actions are short, and only model streams are preempted.
  }

  private void executeEffects(List<ActionEffect> effects) {
    for (ActionEffect effect : effects) {
      if (effect instanceof ActionEffect.PrepareSend) {
        requestSlot();
      } else if (effect instanceof ActionEffect.Reply reply) {
        onReply.accept(reply.reply());
      } else if (effect instanceof ActionEffect.ScheduleTick tick) {
        long delayMs = Math.max(1, tick.atMs() - dependencies.nowMs());
        dependencies
            .vertx()
            .setTimer(
                delayMs,
                timer ->
                    context.runOnContext(run -> executeEffects(flow.tick(dependencies.nowMs()))));
      }
    }
  }

  private void requestSlot() {
    if (flow.isClosed() || call != null) {
      return;
    }
    attempt++;
    call = new CallId(plan.view().id(), plan.view().nextTurnNumber(), attempt);
    WaitingCall waiting =
        WaitingCall.builder(call, plan.view().team(), dependencies.dataCentre())
            .teamShare(plan.team().share())
            .urgentRation(plan.team().urgentRation())
            .priority(plan.view().priority())
            .times(dependencies.nowMs(), request.deadlineAtMs())
            .underWay(true)
            .idempotent(true)
            .build();
    dependencies.slots().request(group, waiting, this);
  }

  private void sendWithGrant(SlotGrant grant) {
    List<ActionEffect> effects = flow.beginSend(dependencies.nowMs());
    EndpointSettings endpoint =
        dependencies.settings().current().endpointsById().get(grant.endpoint());
    boolean sends = effects.stream().anyMatch(ActionEffect.Send.class::isInstance);
    if (!sends || endpoint == null) {
      releaseSlot(grant, CallEnding.CANCELLED);
      executeEffects(sends ? flow.onRetryableFailure(SendFailure.NOT_SENT) : effects);
      return;
    }
    long remainingMs = request.deadlineAtMs() - dependencies.nowMs();
    gateway
        .send(
            endpoint,
            plan.content(),
            ServiceGateway.serviceKey(plan.view().id(), request.key()),
            OptionalLong.empty(),
            remainingMs)
        .onSuccess(result -> context.runOnContext(run -> onSendResult(grant, result)));
  }

  private void onSendResult(SlotGrant grant, ServiceGateway.SendResult result) {
    long nowMs = dependencies.nowMs();
    if (result.failure() == null) {
      releaseSlot(grant, CallEnding.COMPLETED);
      dependencies.retries().recordSuccess(plan.view().team(), plan.pool().id(), nowMs);
      executeEffects(flow.onResponse(result.result()));
      return;
    }
    releaseSlot(grant, CallEnding.FAILED);
    if (dependencies.retries().tryAcquireRetry(plan.view().team(), plan.pool().id(), nowMs)) {
      dependencies.metrics().increment("retries");
      long delayMs = 1 + dependencies.random().nextLong(RETRY_DELAY_MS);
      dependencies
          .vertx()
          .setTimer(
              delayMs,
              timer ->
                  context.runOnContext(
                      run -> executeEffects(flow.onRetryableFailure(result.failure()))));
      return;
    }
    executeEffects(flow.onSendFailed(result.failure()));
  }

  private void releaseSlot(SlotGrant grant, CallEnding ending) {
    dependencies
        .slots()
        .release(group, grant.call(), CallResult.withoutTokens(grant.grantId(), ending));
    call = null;
  }
}
