package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.action.ActionEffect;
import io.magnoliaroute.core.action.ActionRecovery;
import io.magnoliaroute.core.action.SendFailure;
import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.program.OpenIntent;
import io.magnoliaroute.core.settings.PoolKind;
import io.magnoliaroute.core.settings.PoolSettings;
import io.vertx.core.Future;
import java.util.List;
import java.util.Set;

/** Settles the open intents of earlier owners after this VM took a partition. */
final class Recoveries {

  private final ProgramServices services;

  Recoveries(ProgramServices services) {
    this.services = services;
  }

  /** Starts a recovery for each open intent of another writer. */
  void start(PartitionHost host) {
    List<OpenIntent> open =
        host.read(
            held ->
                held.state().openIntents().stream()
                    .filter(each -> !each.intent().id().writer().equals(held.sequence().writer()))
                    .toList());
    open.forEach(each -> recover(host, each));
  }

  private void recover(PartitionHost host, OpenIntent open) {
    PoolSettings pool = pool(open.intent().service());
    ActionRecovery recovery =
        host.read(
            held ->
                new ActionRecovery(open, ActionPlan.traits(pool), ActionPlan.TIMING, held.owner()));
    services.metrics().count("actions_recovered");
    new FlowDriver(
            services,
            host,
            open.intent().program(),
            pool,
            FlowPort.of(recovery),
            new SendsNothing(),
            reply -> {})
        .start();
  }

  /** Returns the pool, or one without endpoints where it was removed, which answers no query. */
  private PoolSettings pool(String service) {
    PoolId id = new PoolId(service);
    return services
        .settings()
        .current()
        .service(id)
        .orElse(new PoolSettings(id, PoolKind.SERVICE, List.of(), Set.of(), false, List.of()));
  }

  private static final class SendsNothing implements FlowDriver.Sender {

    @Override
    public void prepare(FlowDriver driver) {
      throw new IllegalStateException("a recovery sends nothing");
    }

    @Override
    public Future<ServiceGateway.SendResult> send(ActionEffect.Send order) {
      return Future.succeededFuture(new ServiceGateway.SendResult(null, SendFailure.NOT_SENT));
    }

    @Override
    public void notSent() {
      // Nothing is held.
    }
  }
}
