package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.request.Replies;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * The routes {@code /metrics}, {@code /healthz} and {@code /readyz}. They require no token, so that
 * the platform can use them.
 */
final class MonitoringRoutes {

  private static final int UNAVAILABLE = 503;

  private final RouteSupport support;

  MonitoringRoutes(RouteSupport support) {
    this.support = support;
  }

  void addTo(Router router) {
    router.get("/metrics").handler(this::sendMetrics);
    router.get("/healthz").handler(context -> sendPhase(context, 200));
    router
        .get("/readyz")
        .handler(
            context ->
                sendPhase(
                    context,
                    support.readiness().phase() == Readiness.Phase.READY ? 200 : UNAVAILABLE));
  }

  private void sendMetrics(RoutingContext context) {
    context
        .response()
        .putHeader("Content-Type", "text/plain; charset=utf-8")
        .putHeader(Replies.OUTCOME_HEADER, Outcome.DONE.wireName())
        .end(Buffer.buffer(support.metrics().toText()));
  }

  private void sendPhase(RoutingContext context, int status) {
    Replies.sendDone(
        support.newSink(context),
        status,
        new JsonObject().put("phase", support.readiness().phase().name()));
  }
}
