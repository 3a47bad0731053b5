package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.RequestMetadata;
import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.workspace.Workspace;
import io.magnoliaroute.platform.RequestHeaderCodec;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A client request that has been received completely.
 *
 * @param route the route that the request matched
 * @param usesKeys whether the configuration has workspaces, so that requests carry keys
 * @param workspace the workspace that holds the request's key; empty if it has none
 * @param metadata the metadata from the request headers
 * @param method the HTTP method
 * @param uri the path and query, as received
 * @param headers the headers, as received
 * @param body the complete body
 * @param arrivedMs the time at which the request head arrived
 */
record ClientRequest(
    Route route,
    boolean usesKeys,
    Optional<Workspace> workspace,
    RequestMetadata metadata,
    HttpMethod method,
    String uri,
    MultiMap headers,
    Buffer body,
    long arrivedMs) {

  /** Returns the time at which the client stops waiting for the response. */
  long deadlineMs() {
    long timeoutMs = metadata.deadlineMs().orElse(route.timeoutMs());
    return arrivedMs + Math.min(timeoutMs, route.timeoutMs());
  }

  /** Returns the workspace as it is named to endpoints. */
  RequestHeaderCodec.Identity identity() {
    return new RequestHeaderCodec.Identity(usesKeys, workspace.map(Workspace::name));
  }

  /**
   * Returns the priority rank, which a workspace may set for all its requests; 0 is the highest.
   */
  int rank() {
    return workspace.map(Workspace::rank).orElse(OptionalInt.empty()).orElse(route.rank());
  }
}
