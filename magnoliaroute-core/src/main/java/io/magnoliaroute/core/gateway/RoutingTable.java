package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.gateway.workspace.WorkspaceDirectory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** An immutable version of the configuration of routes, services and limits. */
public final class RoutingTable {

  private final long version;
  private final List<Route> routes;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceSpec> services;
  private final ClientLimits limits;
  private final Optional<WorkspaceDirectory> workspaces;

  /** Creates the table of a configuration version without workspaces. */
  public RoutingTable(
      long version, List<Route> routes, Map<String, ServiceSpec> services, ClientLimits limits) {
    this(version, routes, services, limits, Optional.empty());
  }

  /**
   * Creates the table of a configuration version.
   *
   * @param workspaces the workspaces; empty if requests need no key
   */
  public RoutingTable(
      long version,
      List<Route> routes,
      Map<String, ServiceSpec> services,
      ClientLimits limits,
      Optional<WorkspaceDirectory> workspaces) {
    this.version = version;
    this.routes = List.copyOf(routes);
    this.services = Map.copyOf(services);
    this.limits = limits;
    this.workspaces = workspaces;
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
  }

  /** Returns the version; a higher one is newer. */
  public long version() {
    return version;
  }

  /** Returns all routes in the order of the configuration. */
  public List<Route> routes() {
    return routes;
  }

  /** Returns the services by name. */
  public Map<String, ServiceSpec> services() {
    return services;
  }

  /** Returns the limits for client requests. */
  public ClientLimits limits() {
    return limits;
  }

  /** Returns the workspaces; empty if the configuration has none, so that requests need no key. */
  public Optional<WorkspaceDirectory> workspaces() {
    return workspaces;
  }

  /** Returns the longest time for which a route's turns are kept; 0 if no route keeps any. */
  public long maxHistoryRetentionMs() {
    long maxMs = 0;
    for (List<Route> routes : routesByHost.values()) {
      for (Route route : routes) {
        maxMs = Math.max(maxMs, route.historyRetentionMs());
      }
    }
    return maxMs;
  }

  /** Returns the service with the given name. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the names of all services. */
  public Iterable<String> serviceNames() {
    return services.keySet();
  }

  /**
   * Returns the route with the longest prefix that matches the path.
   *
   * @param host the host as the client sent it
   * @param path the path without the query string
   */
  public Optional<Route> match(String host, String path) {
    for (Route route : routesByHost.getOrDefault(withoutPort(host), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
    return name.toLowerCase(Locale.ROOT);
  }
}
