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

/** One idempotent action at the partition owner; retried inside the retry budget. */
final class IdempotentRun implements SlotListener {

  private static final long RETRY_DELAY_MS = 100;

  private final ProgramServices services;
  private final ActionPlan plan;
  private final ActionRequest request;
  private final Consumer<ActionReply> onReply;
  private final Context context;
  private final IdempotentFlow flow;
  private final ServiceGateway gateway;
  private final String group;
  private int attempt;
  private CallId call;

  IdempotentRun(
      ProgramServices services,
      ActionPlan plan,
      ActionRequest request,
      Context context,
      Consumer<ActionReply> onReply) {
    this.services = services;
    this.plan = plan;
    this.request = request;
    this.context = context;
    this.onReply = onReply;
    this.flow = new IdempotentFlow(request, ActionPlan.TIMING);
    this.gateway = new ServiceGateway(services.services());
    this.group = LocalSlots.groupOf(plan.pool());
    this.attempt = services.random().nextInt(1 << 20);
  }

  void start() {
    carryOut(flow.start());
  }

  @Override
  public void onGranted(SlotGrant grant) {
    context.runOnContext(run -> sendUnder(grant));
  }

  @Override
  public void onRefused(String reason, long retryAfterMs) {
    context.runOnContext(
        run -> {
          call = null;
          if (!flow.isClosed()) {
            services
                .vertx()
                .setTimer(
                    Math.max(RETRY_DELAY_MS, Math.min(retryAfterMs, 1_000)),
                    timer -> context.runOnContext(again -> requestSlot()));
          }
        });
  }

  @Override
  public void onPreempted(long grantId) {
    // Actions are short; only model streams are preempted.
  }

  private void carryOut(List<ActionEffect> effects) {
    for (ActionEffect effect : effects) {
      if (effect instanceof ActionEffect.PrepareSend) {
        requestSlot();
      } else if (effect instanceof ActionEffect.Reply reply) {
        onReply.accept(reply.reply());
      } else if (effect instanceof ActionEffect.ScheduleTick wake) {
        long delayMs = Math.max(1, wake.atMs() - services.nowMs());
        services
            .vertx()
            .setTimer(
                delayMs,
                timer -> context.runOnContext(run -> carryOut(flow.tick(services.nowMs()))));
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
        WaitingCall.builder(call, plan.view().team(), services.dataCentre())
            .teamShare(plan.team().share())
            .urgentRation(plan.team().urgentRation())
            .priority(plan.view().priority())
            .times(services.nowMs(), request.deadlineAtMs())
            .underWay(true)
            .idempotent(true)
            .build();
    services.slots().request(group, waiting, this);
  }

  private void sendUnder(SlotGrant grant) {
    List<ActionEffect> effects = flow.beginSend(services.nowMs());
    EndpointSettings endpoint = services.settings().current().endpoints().get(grant.endpoint());
    boolean sends = effects.stream().anyMatch(ActionEffect.Send.class::isInstance);
    if (!sends || endpoint == null) {
      release(grant, CallEnding.CANCELLED);
      carryOut(sends ? flow.onRetryableFailure(SendFailure.NOT_SENT) : effects);
      return;
    }
    long leftMs = request.deadlineAtMs() - services.nowMs();
    gateway
        .send(
            endpoint,
            plan.content(),
            ServiceGateway.serviceKey(plan.view().id(), request.key()),
            OptionalLong.empty(),
            leftMs)
        .onSuccess(seen -> context.runOnContext(run -> received(grant, seen)));
  }

  private void received(SlotGrant grant, ServiceGateway.SendResult seen) {
    long nowMs = services.nowMs();
    if (seen.failure() == null) {
      release(grant, CallEnding.COMPLETED);
      services.retries().succeeded(plan.view().team(), plan.pool().id(), nowMs);
      carryOut(flow.onResponse(seen.result()));
      return;
    }
    release(grant, CallEnding.FAILED);
    if (services.retries().mayRetry(plan.view().team(), plan.pool().id(), nowMs)) {
      services.metrics().count("retries");
      long delayMs = 1 + services.random().nextLong(RETRY_DELAY_MS);
      services
          .vertx()
          .setTimer(
              delayMs,
              timer ->
                  context.runOnContext(run -> carryOut(flow.onRetryableFailure(seen.failure()))));
      return;
    }
    carryOut(flow.onSendFailed(seen.failure()));
  }

  private void release(SlotGrant grant, CallEnding ending) {
    services
        .slots()
        .release(group, grant.call(), CallResult.withoutTokens(grant.grantId(), ending));
    call = null;
  }
}
