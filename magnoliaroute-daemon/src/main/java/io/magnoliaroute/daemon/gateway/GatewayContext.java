package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointLoadTracker;
import io.magnoliaroute.core.gateway.EndpointSelector;
import io.magnoliaroute.core.gateway.PrefixCacheIndex;
import io.magnoliaroute.core.gateway.ServiceTimeAverages;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.random.RandomGenerator;

/**
 * The components that all requests share.
 *
 * @param vertx the Vert.x instance
 * @param clock the monotonic clock
 * @param random the source of jitter
 * @param routingState this VM's view of the configuration and the endpoints
 * @param loads the load and health of endpoints as observed by this VM
 * @param prefixMemory the prompt prefixes that endpoints have cached
 * @param serviceTimes the processing times of services
 * @param picker selects an endpoint for a request
 * @param connections the pool of connections to endpoints
 * @param reachability tracks which endpoints accept connections
 * @param departures handles endpoints that announce their departure
 * @param watchdog detects endpoints and connections that send nothing
 * @param responseMemory limits the memory of incomplete responses
 * @param budgets the token budgets of programs
 * @param crashGuard refuses requests that crash endpoints
 * @param log the decision log
 * @param metrics counters and histograms
 */
record GatewayContext(
    Vertx vertx,
    InstantSource clock,
    RandomGenerator random,
    RoutingState routingState,
    EndpointLoadTracker loads,
    PrefixCacheIndex prefixMemory,
    ServiceTimeAverages serviceTimes,
    EndpointSelector picker,
    EndpointConnectionPool connections,
    ReachabilityMonitor reachability,
    DepartureTracker departures,
    Watchdog watchdog,
    ResponseMemoryLimiter responseMemory,
    TokenBudgets budgets,
    CrashQuarantine crashGuard,
    DecisionLog log,
    GatewayMetrics metrics) {}
