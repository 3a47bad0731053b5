package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.action.ActionEffect;
import io.magnoliaroute.core.action.ActionFlow;
import io.magnoliaroute.core.action.ActionReply;
import io.magnoliaroute.core.action.ActionRequest;
import io.magnoliaroute.core.action.SendFailure;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.schedule.CallEnding;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.core.schedule.WaitingCall;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.TeamSettings;
import io.magnoliaroute.daemon.slot.LocalSlots;
import io.magnoliaroute.daemon.slot.SlotListener;
import io.vertx.core.Future;
import java.util.function.Consumer;

/**
 * Executes one non-idempotent action at the partition owner: requests slots for the action's flow
 * and sends its request.
 */
final class ActionRun implements FlowDriver.RequestSender, SlotListener {

  private static final long MIN_SLOT_RETRY_DELAY_MS = 100;

  private final ProgramDependencies dependencies;
  private final PoolSettings pool;
  private final TeamSettings team;
  private final ProgramView view;
  private final ActionContent content;
  private final ActionRequest request;
  private final String group;
  private final FlowDriver driver;
  private final ServiceGateway gateway;
  private int attempt;
  private CallId call;
  private SlotGrant grant;
  private boolean granted;

  ActionRun(
      ProgramDependencies dependencies,
      PartitionHost host,
      ActionPlan plan,
      ActionRequest request,
      Consumer<ActionReply> onReply) {
    this.dependencies = dependencies;
    this.pool = plan.pool();
    this.team = plan.team();
    this.view = plan.view();
    this.content = plan.content();
    this.request = request;
    this.group = LocalSlots.groupOf(pool);
    this.gateway = new ServiceGateway(dependencies.serviceClient());
    this.attempt = dependencies.random().nextInt(1 << 20);
    ActionFlow flow =
        host.withLock(
            core -> new ActionFlow(request, plan.capabilities(), ActionPlan.TIMING, core.owner()));
    this.driver =
        new FlowDriver(dependencies, host, view.id(), pool, FlowAdapter.of(flow), this, onReply);
  }

  void start() {
    driver.start();
  }

  @Override
  public synchronized void requestSlot(FlowDriver ignored) {
    if (call != null) {
      return;
    }
    attempt++;
    call = new CallId(view.id(), view.nextTurnNumber(), attempt);
    WaitingCall waiting =
        WaitingCall.builder(call, view.team(), dependencies.dataCentre())
            .teamShare(team.share())
            .urgentRation(team.urgentRation())
            .priority(view.priority())
            .times(dependencies.nowMs(), request.deadlineAtMs())
            .underWay(true)
            .build();
    dependencies.slots().request(group, waiting, this);
  }

  @Override
  public void onGranted(SlotGrant slotGrant) {
    synchronized (this) {
      grant = slotGrant;
      granted = true;
    }
    driver.beginSend();
  }

  @Override
  public void onRefused(String reason, long retryAfterMs) {
    synchronized (this) {
      call = null;
    }
    if (dependencies.nowMs() >= request.deadlineAtMs()) {
      return;
    }
    long delayMs = Math.max(MIN_SLOT_RETRY_DELAY_MS, Math.min(retryAfterMs, 1_000));
    dependencies.vertx().setTimer(delayMs, timer -> requestSlot(driver));
  }

  @Override
  public void onPreempted(long grantId) {
    // A non-idempotent action that was sent cannot be revoked, so it keeps its slot.
  }

  @Override
  public Future<ServiceGateway.SendResult> send(ActionEffect.Send effect) {
    EndpointSettings endpoint =
        dependencies.settings().current().endpointsById().get(grant.endpoint());
    if (endpoint == null) {
      releaseSlot(CallEnding.FAILED);
      return Future.succeededFuture(new ServiceGateway.SendResult(null, SendFailure.NOT_SENT));
    }
    long remainingMs = request.deadlineAtMs() - dependencies.nowMs();
    String key = ServiceGateway.serviceKey(view.id(), request.key());
    return gateway
        .send(endpoint, content, key, effect.fencingToken(), remainingMs)
        .onSuccess(
            result ->
                releaseSlot(result.failure() == null ? CallEnding.COMPLETED : CallEnding.FAILED));
  }

  @Override
  public void releaseUnusedSlot() {
    releaseSlot(CallEnding.CANCELLED);
  }

  private synchronized void releaseSlot(CallEnding ending) {
    if (!granted) {
      return;
    }
    granted = false;
    dependencies.slots().release(group, call, CallResult.withoutTokens(grant.grantId(), ending));
    call = null;
  }
}
