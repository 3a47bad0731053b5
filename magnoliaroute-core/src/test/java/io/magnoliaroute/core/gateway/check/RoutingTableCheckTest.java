package io.magnoliaroute.core.gateway.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.gateway.ClientLimits;
import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.RouteKind;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.gateway.ServiceSpec;
import io.magnoliaroute.core.gateway.workspace.BearerKeyHash;
import io.magnoliaroute.core.gateway.workspace.Workspace;
import io.magnoliaroute.core.gateway.workspace.WorkspaceDirectory;
import io.magnoliaroute.core.gateway.workspace.WorkspaceQuota;
import io.magnoliaroute.core.settings.Finding;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against mistakes in a configuration that show only once it is in force. */
@DisplayName("A configuration that is checked before it is published")
class RoutingTableCheckTest {

  private static final Map<String, ServiceSpec> SERVICES =
      Map.of("s", new ServiceSpec("s", "/h", 64, 8, 0, 0));
  private static final Route SOUND = route("sound", "h", "/a/", 100, new Route.Backend("s", 1));
  private static final Workspace WORKSPACE =
      new Workspace("w", OptionalInt.empty(), new WorkspaceQuota(2, 4));

  private static Route route(
      String name, String host, String prefix, long targetLatencyMs, Route.Backend... backends) {
    return new Route(
        name,
        host,
        prefix,
        RouteKind.IDEMPOTENT,
        false,
        1_000,
        targetLatencyMs,
        0,
        1,
        List.of(backends),
        false,
        false,
        0,
        0);
  }

  private static RoutingTable table(Route... routes) {
    return new RoutingTable(1, List.of(routes), SERVICES, ClientLimits.DEFAULT);
  }

  private static RoutingTable table(Workspace workspace, Map<BearerKeyHash, Workspace> keys) {
    return new RoutingTable(
        2,
        List.of(SOUND),
        SERVICES,
        ClientLimits.DEFAULT,
        Optional.of(new WorkspaceDirectory(List.of(workspace), keys)));
  }

  private static List<String> messages(RoutingTable table) {
    return RoutingTableCheck.check("f", table).stream().map(Finding::message).toList();
  }

  @Test
  @DisplayName("has no findings if all its entries can match")
  void sound() {
    assertEquals(List.of(), messages(table(SOUND)));
    assertEquals(
        List.of(), messages(table(WORKSPACE, Map.of(BearerKeyHash.ofKey("k"), WORKSPACE))));
  }

  @Test
  @DisplayName("names routes that can never match")
  void routesWithoutMatch() {
    assertEquals(
        List.of(
            "can never match: route 'sound' has the same host and prefix",
            "can never match: prefix 'x/' does not begin with '/'",
            "can never match: host 'h:80' contains a port"),
        messages(
            table(
                SOUND,
                route("second", "h", "/a/", 100, new Route.Backend("s", 1)),
                route("relative", "h", "x/", 100, new Route.Backend("s", 1)),
                route("port", "h:80", "/b/", 100, new Route.Backend("s", 1)))));
  }

  @Test
  @DisplayName("names services that are missing or never selected")
  void backends() {
    assertEquals(
        List.of(
            "service 'other' is not in the configuration",
            "service 'other' can never be selected: weight 0"),
        messages(
            table(
                route(
                    "r",
                    "h",
                    "/b/",
                    100,
                    new Route.Backend("s", 1),
                    new Route.Backend("other", 0)))));
  }

  @Test
  @DisplayName("names limits that contradict each other")
  void contradictions() {
    assertEquals(
        List.of("target latency of 1001 ms exceeds the time-out of 1000 ms"),
        messages(table(route("r", "h", "/b/", 1_001, new Route.Backend("s", 1)))));
    Workspace small = new Workspace("w", OptionalInt.empty(), new WorkspaceQuota(2, 0.5));
    assertEquals(
        List.of("burst of 0.5 is below one request, so that none is in the quota"),
        messages(table(small, Map.of(BearerKeyHash.ofKey("k"), small))));
  }

  @Test
  @DisplayName("names workspaces that no request can run for")
  void workspaceWithoutKey() {
    assertEquals(
        List.of("can never match: it has no key that another workspace does not have"),
        messages(table(WORKSPACE, Map.of())));
  }

  @Test
  @DisplayName("is compared with the one in force, and shows no whole hash of a key")
  void differences() {
    RoutingTable before = table(WORKSPACE, Map.of(BearerKeyHash.ofKey("k"), WORKSPACE));
    RoutingTable after =
        table(
            WORKSPACE,
            Map.of(BearerKeyHash.ofKey("k"), WORKSPACE, BearerKeyHash.ofKey("l"), WORKSPACE));
    List<RoutingTableDiff.Change> changes = RoutingTableDiff.between(before, after);
    assertEquals(List.of("workspaces/w"), changes.stream().map(each -> each.path()).toList());
    assertEquals(false, changes.get(0).after().contains(BearerKeyHash.ofKey("l").hex()));
    assertEquals(List.of(), RoutingTableDiff.between(before, before));
    assertEquals(
        List.of("routes/new", "workspaces/w"),
        RoutingTableDiff.between(
                before, table(SOUND, route("new", "h", "/n/", 100, new Route.Backend("s", 1))))
            .stream()
            .map(RoutingTableDiff.Change::path)
            .toList());
  }
}
