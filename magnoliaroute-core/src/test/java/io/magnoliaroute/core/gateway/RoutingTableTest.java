package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against requests that are routed to a service other than the configured one. */
@DisplayName("A routing table")
class RoutingTableTest {

  private static Route route(String name, String host, String prefix, Route.Backend... backends) {
    return new Route(
        name,
        host,
        prefix,
        RouteKind.IDEMPOTENT,
        false,
        1_000,
        100,
        0,
        1,
        List.of(backends),
        false,
        false,
        0,
        0);
  }

  private static final Route SHORT = route("short", "h", "/a/", new Route.Backend("s1", 1));
  private static final Route LONG = route("long", "h", "/a/b/", new Route.Backend("s2", 1));

  private final RoutingTable table =
      new RoutingTable(1, List.of(SHORT, LONG), Map.of(), ClientLimits.DEFAULT);

  @Test
  @DisplayName("selects the route with the longest matching prefix")
  void longestPrefix() {
    assertEquals(Optional.of(LONG), table.match("h", "/a/b/c"));
    assertEquals(Optional.of(SHORT), table.match("h", "/a/bc"));
  }

  @Test
  @DisplayName("matches the host regardless of case and port")
  void host() {
    assertEquals(Optional.of(SHORT), table.match("H:8080", "/a/x"));
    assertEquals(Optional.empty(), table.match("other", "/a/x"));
  }

  @Test
  @DisplayName("finds no route for a path that lacks the slash at the end of a prefix")
  void noRoute() {
    assertEquals(Optional.empty(), table.match("h", "/a"));
  }

  @Test
  @DisplayName("distributes requests by weight and excludes a service with weight zero")
  void weights() {
    Route split =
        route(
            "split",
            "h",
            "/",
            new Route.Backend("s1", 3),
            new Route.Backend("s2", 1),
            new Route.Backend("s3", 0));
    Map<String, Integer> counts = new HashMap<>();
    for (int point = 0; point < 400; point++) {
      counts.merge(split.serviceFor(point), 1, Integer::sum);
    }

    assertEquals(Map.of("s1", 300, "s2", 100), counts);
  }
}
