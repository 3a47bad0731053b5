package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.request.Replies;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/** {@code /metrics}, {@code /healthz} and {@code /readyz}, open to the platform without a token. */
final class OpsRoutes {

  private static final int UNAVAILABLE = 503;

  private final RouteContext shared;

  OpsRoutes(RouteContext shared) {
    this.shared = shared;
  }

  void addTo(Router router) {
    router.get("/metrics").handler(this::metrics);
    router.get("/healthz").handler(context -> phase(context, 200));
    router
        .get("/readyz")
        .handler(
            context ->
                phase(
                    context,
                    shared.readiness().phase() == Readiness.Phase.READY ? 200 : UNAVAILABLE));
  }

  private void metrics(RoutingContext context) {
    context
        .response()
        .putHeader("Content-Type", "text/plain; charset=utf-8")
        .putHeader(Replies.OUTCOME_HEADER, Outcome.DONE.wireName())
        .end(Buffer.buffer(shared.metrics().text()));
  }

  private void phase(RoutingContext context, int status) {
    Replies.done(
        shared.sink(context),
        status,
        new JsonObject().put("phase", shared.readiness().phase().name()));
  }
}
