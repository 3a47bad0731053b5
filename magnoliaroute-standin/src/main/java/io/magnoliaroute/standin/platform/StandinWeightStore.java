package io.magnoliaroute.standin.platform;

import io.magnoliaroute.standin.StandinServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.InstantSource;

/** A store for model weights that serves one fetch per interval and rejects others with 429. */
public final class StandinWeightStore {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final InstantSource clock;
  private final long intervalMs;
  private long nextAllowedMs = Long.MIN_VALUE;
  private boolean outage;
  private int fetches;

  /**
   * Creates a store that is not listening yet.
   *
   * @param clock the clock that measures the interval
   * @param intervalMs minimum time between two fetches that are served
   */
  public StandinWeightStore(InstantSource clock, long intervalMs) {
    this.clock = clock;
    this.intervalMs = intervalMs;
  }

  /** Starts the store on a loopback port. */
  public Future<StandinServer> start(Vertx vertx) {
    Router router = Router.router(vertx);
    router.get("/weights/:model").handler(this::fetch);
    return StandinServer.listen(vertx, router);
  }

  /** Starts or ends an outage, during which every fetch is rejected with status 503. */
  public synchronized void setOutage(boolean outage) {
    this.outage = outage;
  }

  /** Returns the number of fetches that were served. */
  public synchronized int fetches() {
    return fetches;
  }

  private void fetch(RoutingContext context) {
    int status = admit(clock.millis());
    context.response().setStatusCode(status);
    context.json(new JsonObject().put("model", context.pathParam("model")));
  }

  private synchronized int admit(long nowMs) {
    if (outage) {
      return UNAVAILABLE;
    }
    if (nowMs < nextAllowedMs) {
      return TOO_MANY_REQUESTS;
    }
    nextAllowedMs = nowMs + intervalMs;
    fetches++;
    return 200;
  }
}
