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

/** Carries out the effects of one flow and passes events on to it under the partition's lock. */
final class FlowDriver implements PartitionCore.AppliedListener {

  private final ProgramServices services;
  private final PartitionHost host;
  private final ProgramId program;
  private final PoolSettings pool;
  private final FlowPort flow;
  private final Sender sender;
  private final Consumer<ActionReply> onReply;
  private final ServiceGateway gateway;

  /** Sends the request of a flow. */
  interface Sender {

    /** Prepares a slot, then calls {@link FlowDriver#beginSend}. */
    void prepare(FlowDriver driver);

    /** Sends the request now; completes with the answer or the failure, never fails. */
    Future<ServiceGateway.SendResult> send(ActionEffect.Send order);

    /** Gives the slot back where nothing was sent. */
    void notSent();
  }

  FlowDriver(
      ProgramServices services,
      PartitionHost host,
      ProgramId program,
      PoolSettings pool,
      FlowPort flow,
      Sender sender,
      Consumer<ActionReply> onReply) {
    this.services = services;
    this.host = host;
    this.program = program;
    this.pool = pool;
    this.flow = flow;
    this.sender = sender;
    this.onReply = onReply;
    this.gateway = new ServiceGateway(services.services());
  }

  void start() {
    carryOut(
        host.read(
            held -> {
              held.addListener(this);
              return flow.start(services.nowMs());
            }));
  }

  /** Sends the request if the flow still wants to; the slot is held. */
  void beginSend() {
    List<ActionEffect> effects = event(port -> port.beginSend(services.nowMs()));
    boolean sends = effects.stream().anyMatch(ActionEffect.Send.class::isInstance);
    if (!sends) {
      sender.notSent();
    }
    carryOut(effects);
  }

  @Override
  public Runnable onApplied(AppliedRecord applied, long nowMs) {
    List<ActionEffect> effects = flow.onApplied(applied, services.nowMs());
    return () -> carryOut(effects);
  }

  @Override
  public Runnable onRestored(long nowMs) {
    List<ActionEffect> effects = flow.onRestored(services.nowMs());
    return () -> carryOut(effects);
  }

  private List<ActionEffect> event(Function<FlowPort, List<ActionEffect>> step) {
    return host.read(held -> step.apply(flow));
  }

  private void carryOut(List<ActionEffect> effects) {
    for (ActionEffect effect : effects) {
      execute(effect);
    }
    host.read(
        held -> {
          if (flow.closed()) {
            held.removeListener(this);
          }
          return null;
        });
  }

  private void execute(ActionEffect effect) {
    if (effect instanceof ActionEffect.Append append) {
      append(append);
    } else if (effect instanceof ActionEffect.CancelAppend cancel) {
      AbandonResult result = host.abandon(cancel.id());
      carryOut(event(port -> port.appendCancelled(result, services.nowMs())));
    } else if (effect instanceof ActionEffect.PrepareSend) {
      sender.prepare(this);
    } else if (effect instanceof ActionEffect.Send send) {
      send(send);
    } else if (effect instanceof ActionEffect.QueryStatus query) {
      queryStatus(query);
    } else if (effect instanceof ActionEffect.Reply reply) {
      onReply.accept(reply.reply());
    } else if (effect instanceof ActionEffect.ScheduleTick wake) {
      long delayMs = Math.max(1, wake.atMs() - services.nowMs());
      services.vertx().setTimer(delayMs, timer -> wake());
    }
  }

  private void append(ActionEffect.Append append) {
    boolean taken = host.read(held -> held.append(append.record(), services.nowMs()));
    if (!taken) {
      carryOut(event(port -> port.appendRefused(append.record().id(), services.nowMs())));
      return;
    }
    host.pump();
  }

  private void send(ActionEffect.Send order) {
    sender
        .send(order)
        .onSuccess(
            seen -> {
              long nowMs = services.nowMs();
              carryOut(
                  event(
                      port ->
                          seen.failure() == null
                              ? port.onAnswer(seen.result(), nowMs)
                              : port.onSendFailed(seen.failure(), nowMs)));
            });
  }

  private void queryStatus(ActionEffect.QueryStatus query) {
    gateway
        .status(pool, ServiceGateway.serviceKey(program, query.key()), query.fencingToken())
        .onSuccess(answer -> status(answer, query.fencingToken()));
  }

  private void status(StatusResponse answer, long token) {
    carryOut(event(port -> port.onStatus(answer, token, services.nowMs())));
  }

  /** Renews the lease where it has run out, so that the flow finds it valid, and ticks the flow. */
  private void wake() {
    boolean closed = host.read(held -> flow.closed());
    if (closed) {
      return;
    }
    boolean valid = host.read(held -> held.lease().isValidAt(services.nowMs()));
    if (valid) {
      tick();
      return;
    }
    host.catchUp().onComplete(done -> tick());
  }

  private void tick() {
    carryOut(event(port -> port.tick(services.nowMs())));
  }
}
