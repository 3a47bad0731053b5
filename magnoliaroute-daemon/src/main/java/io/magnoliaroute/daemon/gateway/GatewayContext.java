package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointLoadTracker;
import io.magnoliaroute.core.gateway.EndpointPaths;
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
 * @param prefixCache the index of the prompt prefixes that endpoints have cached
 * @param serviceTimes the average processing times of services
 * @param endpointSelector selects an endpoint for a request
 * @param paths the paths by which this VM reaches endpoints
 * @param connections the pool of connections to endpoints
 * @param reachability tracks which endpoints accept connections
 * @param tunnelEnds determines how connections through relays have ended
 * @param departures handles endpoints that announce their departure
 * @param requestPermits obtains the permits for requests to endpoints with a request limit
 * @param workspacePermits obtains the permits for requests of workspaces with a quota
 * @param serviceVersions keeps the software versions in service
 * @param streamVersions determines at which software version a stream may be resumed
 * @param watchdog detects endpoints and connections that send nothing
 * @param responseMemory limits the memory of incomplete responses
 * @param budgets the token budgets of programs
 * @param crashQuarantine quarantines requests that crash endpoints
 * @param keys authorizes requests by their keys
 * @param log the decision log
 * @param metrics counters and histograms
 */
record GatewayContext(
    Vertx vertx,
    InstantSource clock,
    RandomGenerator random,
    RoutingState routingState,
    EndpointLoadTracker loads,
    PrefixCacheIndex prefixCache,
    ServiceTimeAverages serviceTimes,
    EndpointSelector endpointSelector,
    EndpointPaths paths,
    EndpointConnectionPool connections,
    ReachabilityMonitor reachability,
    TunnelEnds tunnelEnds,
    DepartureTracker departures,
    RequestPermits requestPermits,
    WorkspacePermits workspacePermits,
    ServiceVersionLog serviceVersions,
    StreamVersions streamVersions,
    Watchdog watchdog,
    ResponseMemoryLimiter responseMemory,
    TokenBudgets budgets,
    CrashQuarantine crashQuarantine,
    KeyAuthorizer keys,
    DecisionLog log,
    GatewayMetrics metrics) {}
