package io.magnoliaroute.standin.users;

import java.util.List;

/** A routing configuration with routes of every kind to a single service. */
public final class StandinConfiguration {

  /** Host name of all routes. */
  public static final String HOST = "h";

  /** Name of the service behind all routes. */
  public static final String SERVICE = "s";

  /** Maximum number of concurrent connections to an endpoint. */
  public static final int MAX_CONNECTIONS = 64;

  /** Seconds for which the turns of the route {@code keptstream} are kept. */
  public static final int KEEP_S = 60;

  private static final int DEFAULT_TIMEOUT_MS = 2_000;
  private static final int BRIEF_TIMEOUT_MS = 200;
  private static final int SLOW_TIMEOUT_MS = 4_000;
  private static final int STREAM_TIMEOUT_MS = 4_000;

  private static final String BRIEF = "\"path_prefix\":\"/brief/\"";

  /** Target latency of the route with one; about the duration of a stream. */
  private static final int QUICK_TARGET_MS = 20;

  private StandinConfiguration() {}

  /**
   * Returns the value of the configuration record in the store, as JSON.
   *
   * @param version the version of the configuration
   * @param extraPrefix the path prefix of an additional route for idempotent requests
   */
  public static String json(long version, String extraPrefix) {
    return json(version, extraPrefix, "");
  }

  /**
   * Returns the configuration with two workspaces, {@code red} and {@code blue}, each with a key of
   * the same name.
   */
  public static String jsonWithWorkspaces(long version) {
    String workspaces =
        "{\"name\":\"red\",\"api_keys\":[\"red\"]},{\"name\":\"blue\",\"api_keys\":[\"blue\"]}";
    return json(version, "/other/", ",\"tenants\":[" + workspaces + "]");
  }

  private static String json(long version, String extraPrefix, String moreFields) {
    List<String> routes =
        List.of(
            route("safe", "/safe/", "safe", DEFAULT_TIMEOUT_MS, false),
            route("extra", extraPrefix, "safe", DEFAULT_TIMEOUT_MS, false),
            route("brief", "/brief/", "safe", BRIEF_TIMEOUT_MS, false),
            route("slow", "/slow/", "safe", SLOW_TIMEOUT_MS, false),
            route("unsafe", "/unsafe/", "unsafe", DEFAULT_TIMEOUT_MS, false),
            route("stream", "/stream/", "stream", STREAM_TIMEOUT_MS, true),
            route("plainstream", "/plainstream/", "stream", STREAM_TIMEOUT_MS, false),
            keptRoute("keptstream", "/keptstream/"),
            route("quickstream", "/quickstream/", "stream", STREAM_TIMEOUT_MS, true)
                .replace("}", ",\"target_latency_ms\":" + QUICK_TARGET_MS + "}"));
    return ("{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"%s\","
            + "\"health_path\":\"/h\",\"max_conns\":%d,"
            + "\"engine\":{\"slots\":8,\"kv_tokens\":1000,\"stride\":10}}]%s}")
        .formatted(version, String.join(",", routes), SERVICE, MAX_CONNECTIONS, moreFields);
  }

  private static String keptRoute(String name, String prefix) {
    String route = route(name, prefix, "stream", STREAM_TIMEOUT_MS, true);
    return route.substring(0, route.length() - 1)
        + ",\"server_history\":true,\"keep_s\":%d}".formatted(KEEP_S);
  }

  /**
   * Returns a configuration with workspaces, in which the route {@code /brief/} is public.
   *
   * @param version the version of the configuration
   * @param workspaces the JSON objects of the workspaces
   */
  public static String jsonWithWorkspaces(long version, String... workspaces) {
    String plain = json(version, "/other/");
    return plain.substring(0, plain.length() - 1).replace(BRIEF, BRIEF + ",\"public\":true")
        + ",\"tenants\":["
        + String.join(",", workspaces)
        + "]}";
  }

  /**
   * Returns a configuration with one workspace, whose key all requests need.
   *
   * @param permitsPerS the rate of the workspace's quota
   * @param burst the burst of the workspace's quota
   */
  public static String jsonWithWorkspace(
      long version, String name, String key, double permitsPerS, double burst) {
    String workspace =
        "{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"per_s\":%s,\"burst\":%s}"
            .formatted(name, key, permitsPerS, burst);
    return json(version, "/other/").replaceFirst("\\{", "{\"tenants\":[" + workspace + "],");
  }

  private static String route(
      String name, String prefix, String kind, int timeoutMs, boolean canResume) {
    return ("{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"kind\":\"%s\","
            + "\"timeout_ms\":%d,\"service\":\"%s\",\"attempts\":1,\"can_resume\":%b}")
        .formatted(name, HOST, prefix, kind, timeoutMs, SERVICE, canResume);
  }
}
