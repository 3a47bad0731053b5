package io.magnoliaroute.core.gateway.check;

import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.gateway.workspace.Workspace;
import io.magnoliaroute.core.gateway.workspace.WorkspaceDirectory;
import io.magnoliaroute.core.settings.Finding;
import io.magnoliaroute.core.settings.Severity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds entries of a configuration that can never match a request, and limits that contradict each
 * other. Such a configuration is accepted and applied, but does not do what its author means.
 */
public final class RoutingTableCheck {

  private final String file;
  private final RoutingTable table;
  private final List<Finding> findings = new ArrayList<>();

  private RoutingTableCheck(String file, RoutingTable table) {
    this.file = file;
    this.table = table;
  }

  /**
   * Returns the findings on a configuration.
   *
   * @param file the name of the file in the findings
   */
  public static List<Finding> check(String file, RoutingTable table) {
    RoutingTableCheck check = new RoutingTableCheck(file, table);
    check.checkMatches();
    table.routes().forEach(check::checkRoute);
    table.workspaces().ifPresent(check::checkWorkspaces);
    check.checkLimits();
    return check.findings;
  }

  private void checkMatches() {
    Map<String, String> nameByMatch = new HashMap<>();
    for (Route route : table.routes()) {
      String first = nameByMatch.putIfAbsent(route.host() + route.pathPrefix(), route.name());
      if (first != null) {
        add(route, "can never match: route '" + first + "' has the same host and prefix");
      }
      if (!route.pathPrefix().startsWith("/")) {
        add(route, "can never match: prefix '" + route.pathPrefix() + "' does not begin with '/'");
      }
      if (route.host().indexOf(':') > route.host().lastIndexOf(']')) {
        add(route, "can never match: host '" + route.host() + "' contains a port");
      }
    }
  }

  private void checkRoute(Route route) {
    if (!route.pathPrefix().endsWith("/")) {
      add(route, "prefix '" + route.pathPrefix() + "' does not end with '/'");
    }
    checkBackends(route);
    if (route.targetLatencyMs() > route.timeoutMs()) {
      add(
          route,
          "target latency of %d ms exceeds the time-out of %d ms"
              .formatted(route.targetLatencyMs(), route.timeoutMs()));
    }
    if (route.maxEventGapMs() > route.timeoutMs()) {
      add(
          route,
          "pause of %d ms between events exceeds the time-out of %d ms"
              .formatted(route.maxEventGapMs(), route.timeoutMs()));
    }
    if (!route.kind().isStream() && (route.keepsHistory() || route.resumable())) {
      add(route, "keeps turns or may be resumed, but is no stream");
    }
    if (route.keepsHistory() && route.historyRetentionMs() < route.timeoutMs()) {
      add(
          route,
          "turns are kept for %d ms, less than the time-out of %d ms"
              .formatted(route.historyRetentionMs(), route.timeoutMs()));
    }
    if (route.maxEndpoints() > 1 && !route.mayRepeat()) {
      add(route, route.maxEndpoints() + " attempts, but its requests are never repeated");
    }
  }

  private void checkBackends(Route route) {
    boolean hasWeights = route.backends().stream().anyMatch(backend -> backend.weight() > 0);
    for (Route.Backend backend : route.backends()) {
      if (!table.services().containsKey(backend.service())) {
        add(route, "service '" + backend.service() + "' is not in the configuration");
      }
      if (hasWeights && backend.weight() <= 0) {
        add(route, "service '" + backend.service() + "' can never be selected: weight 0");
      }
    }
  }

  private void checkWorkspaces(WorkspaceDirectory directory) {
    for (Workspace workspace : directory.workspaces()) {
      if (directory.keysOf(workspace).isEmpty()) {
        add(workspace, "can never match: it has no key that another workspace does not have");
      }
      double requestsPerS = workspace.quota().requestsPerS();
      double burst = workspace.quota().burst();
      if (requestsPerS > 0 && burst < 1) {
        add(workspace, "burst of " + burst + " is below one request, so that none is in the quota");
      }
      if (requestsPerS <= 0 && burst > 0) {
        add(workspace, "burst of " + burst + " without a rate does not limit anything");
      }
    }
  }

  private void checkLimits() {
    if (table.limits().headerTimeoutMs() > table.limits().idleTimeoutMs()) {
      findings.add(
          finding(
              "limits",
              "time-out of %d ms for a header exceeds that of %d ms for an idle connection"
                  .formatted(table.limits().headerTimeoutMs(), table.limits().idleTimeoutMs())));
    }
  }

  private void add(Route route, String message) {
    findings.add(finding("routes/" + route.name(), message));
  }

  private void add(Workspace workspace, String message) {
    findings.add(finding("workspaces/" + workspace.name(), message));
  }

  private Finding finding(String path, String message) {
    return new Finding(file, 0, path, message, Severity.WARNING);
  }
}
