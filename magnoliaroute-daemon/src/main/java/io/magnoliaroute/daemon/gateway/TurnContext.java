package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.platform.StoreClient;
import io.vertx.core.Vertx;
import java.time.InstantSource;

/**
 * The components that the parts of the turn history share.
 *
 * @param vertx the Vert.x instance
 * @param store the client of the store
 * @param storeHealth whether the store responds to this VM
 * @param clock the monotonic clock
 * @param log the decision log
 * @param metrics counters
 */
record TurnContext(
    Vertx vertx,
    StoreClient store,
    StoreHealth storeHealth,
    InstantSource clock,
    DecisionLog log,
    GatewayMetrics metrics) {}
