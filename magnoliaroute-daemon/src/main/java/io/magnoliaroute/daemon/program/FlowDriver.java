package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.action.ActionEffect;
import io.magnoliaroute.core.action.ActionReply;
import io.magnoliaroute.core.action.StatusResponse;
import io.magnoliaroute.core.log.AbandonResult;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.AppliedRecord;
import io.magnoliaroute.core.settings.PoolSettings;
import io.vertx.core.Future;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Executes the effects of one action flow and dispatches events to the flow. The flow is called
 * only under the partition's lock, and effects are executed after the lock is released.
 */
final class FlowDriver implements PartitionCore.AppliedRecordListener {

  private final ProgramDependencies dependencies;
  private final PartitionHost host;
  private final ProgramId program;
  private final PoolSettings pool;
  private final FlowAdapter flow;
  private final RequestSender sender;
  private final Consumer<ActionReply> onReply;
  private final ServiceGateway gateway;

  /** Acquires a slot for the request of a flow and sends it. */
  interface RequestSender {

    /** Requests a slot and calls {@link FlowDriver#beginSend} when it is granted. */
    void requestSlot(FlowDriver driver);

    /**
     * Sends the request immediately. The future never fails; a failed send is part of the result.
     */
    Future<ServiceGateway.SendResult> send(ActionEffect.Send effect);

    /** Releases the slot if nothing was sent. */
    void releaseUnusedSlot();
  }

  FlowDriver(
      ProgramDependencies dependencies,
      PartitionHost host,
      ProgramId program,
      PoolSettings pool,
      FlowAdapter flow,
      RequestSender sender,
      Consumer<ActionReply> onReply) {
    this.dependencies = dependencies;
    this.host = host;
    this.program = program;
    this.pool = pool;
    this.flow = flow;
    this.sender = sender;
    this.onReply = onReply;
    this.gateway = new ServiceGateway(dependencies.serviceClient());
  }

  /** Registers the flow for applied records and starts it. */
  void start() {
    executeEffects(
        host.withLock(
            core -> {
              core.addListener(this);
              return flow.start(dependencies.nowMs());
            }));
  }

  /**
   * Sends the request if the flow's checks still allow it, and otherwise releases the slot. Called
   * by the sender while it holds a slot.
   */
  void beginSend() {
    List<ActionEffect> effects = dispatchEvent(adapter -> adapter.beginSend(dependencies.nowMs()));
    boolean sends = effects.stream().anyMatch(ActionEffect.Send.class::isInstance);
    if (!sends) {
      sender.releaseUnusedSlot();
    }
    executeEffects(effects);
  }

  @Override
  public Runnable onApplied(AppliedRecord applied, long nowMs) {
    List<ActionEffect> effects = flow.onApplied(applied, dependencies.nowMs());
    return () -> executeEffects(effects);
  }

  @Override
  public Runnable onRestored(long nowMs) {
    List<ActionEffect> effects = flow.onRestored(dependencies.nowMs());
    return () -> executeEffects(effects);
  }

  private List<ActionEffect> dispatchEvent(Function<FlowAdapter, List<ActionEffect>> step) {
    return host.withLock(core -> step.apply(flow));
  }

  private void executeEffects(List<ActionEffect> effects) {
    for (ActionEffect effect : effects) {
      execute(effect);
    }
    host.withLock(
        core -> {
          if (flow.isClosed()) {
            core.removeListener(this);
          }
          return null;
        });
  }

  private void execute(ActionEffect effect) {
    if (effect instanceof ActionEffect.Append append) {
      append(append);
    } else if (effect instanceof ActionEffect.CancelAppend cancel) {
      AbandonResult result = host.abandon(cancel.id());
      executeEffects(
          dispatchEvent(adapter -> adapter.onAppendCancelled(result, dependencies.nowMs())));
    } else if (effect instanceof ActionEffect.PrepareSend) {
      sender.requestSlot(this);
    } else if (effect instanceof ActionEffect.Send send) {
      send(send);
    } else if (effect instanceof ActionEffect.QueryStatus query) {
      queryStatus(query);
    } else if (effect instanceof ActionEffect.Reply reply) {
      onReply.accept(reply.reply());
    } else if (effect instanceof ActionEffect.ScheduleTick tick) {
      long delayMs = Math.max(1, tick.atMs() - dependencies.nowMs());
      dependencies.vertx().setTimer(delayMs, timer -> renewLeaseAndTick());
    }
  }

  private void append(ActionEffect.Append append) {
    boolean accepted = host.withLock(core -> core.append(append.record(), dependencies.nowMs()));
    if (!accepted) {
      executeEffects(
          dispatchEvent(
              adapter -> adapter.onAppendRefused(append.record().id(), dependencies.nowMs())));
      return;
    }
    host.appendNextBatch();
  }

  private void send(ActionEffect.Send effect) {
    sender
        .send(effect)
        .onSuccess(
            result -> {
              long nowMs = dependencies.nowMs();
              executeEffects(
                  dispatchEvent(
                      adapter ->
                          result.failure() == null
                              ? adapter.onResponse(result.result(), nowMs)
                              : adapter.onSendFailed(result.failure(), nowMs)));
            });
  }

  private void queryStatus(ActionEffect.QueryStatus query) {
    gateway
        .queryStatus(pool, ServiceGateway.serviceKey(program, query.key()), query.fencingToken())
        .onSuccess(response -> onStatusResponse(response, query.fencingToken()));
  }

  private void onStatusResponse(StatusResponse response, long token) {
    executeEffects(
        dispatchEvent(adapter -> adapter.onStatusResponse(response, token, dependencies.nowMs())));
  }

  /**
   * Ticks the flow. An expired lease is renewed first by a read, because the flow does not proceed
   * without a valid lease.
   */
  private void renewLeaseAndTick() {
    boolean closed = host.withLock(core -> flow.isClosed());
    if (closed) {
      return;
    }
    boolean valid = host.withLock(core -> core.lease().isValidAt(dependencies.nowMs()));
    if (valid) {
      tick();
      return;
    }
    host.catchUp().onComplete(done -> tick());
  }

  private void tick() {
    executeEffects(dispatchEvent(adapter -> adapter.tick(dependencies.nowMs())));
  }
}
