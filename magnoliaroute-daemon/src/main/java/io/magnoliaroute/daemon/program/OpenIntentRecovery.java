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

/** Resolves the open intents of earlier owners after this VM has claimed a partition. */
final class OpenIntentRecovery {

  private final ProgramDependencies dependencies;

  OpenIntentRecovery(ProgramDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /** Starts a recovery for each open intent that another writer has appended. */
  void start(PartitionHost host) {
    List<OpenIntent> open =
        host.withLock(
            core ->
                core.state().openIntents().stream()
                    .filter(
                        intent -> !intent.intent().id().writer().equals(core.recordIds().writer()))
                    .toList());
    open.forEach(intent -> recover(host, intent));
  }

  private void recover(PartitionHost host, OpenIntent open) {
    PoolSettings pool = pool(open.intent().service());
    ActionRecovery recovery =
        host.withLock(
            core ->
                new ActionRecovery(
                    open, ActionPlan.capabilities(pool), ActionPlan.TIMING, core.owner()));
    dependencies.metrics().increment("actions_recovered");
    new FlowDriver(
            dependencies,
            host,
            open.intent().program(),
            pool,
            FlowAdapter.of(recovery),
            new RejectingSender(),
            reply -> {})
        .start();
  }

  /**
   * Returns the settings of the service's pool. A removed pool is replaced by one without
   * endpoints, whose status queries are inconclusive.
   */
  private PoolSettings pool(String service) {
    PoolId id = new PoolId(service);
    return dependencies
        .settings()
        .current()
        .servicePool(id)
        .orElse(new PoolSettings(id, PoolKind.SERVICE, List.of(), Set.of(), false, List.of()));
  }

  private static final class RejectingSender implements FlowDriver.RequestSender {

    @Override
    public void requestSlot(FlowDriver driver) {
      throw new IllegalStateException("a recovery must not send a request");
    }

    @Override
    public Future<ServiceGateway.SendResult> send(ActionEffect.Send effect) {
      return Future.succeededFuture(new ServiceGateway.SendResult(null, SendFailure.NOT_SENT));
    }

    @Override
    public void releaseUnusedSlot() {
      // A recovery holds no slot.
    }
  }
}
