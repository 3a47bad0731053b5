package io.magnoliaroute.daemon.features;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.Daemon;
import io.magnoliaroute.daemon.support.DaemonClient;
import io.magnoliaroute.daemon.support.DaemonTestEnvironment;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** Queries to the public and operator interfaces of a daemon, and readers of their responses. */
final class DaemonApiQueries {

  private DaemonApiQueries() {}

  static boolean isFirstEngineDraining(Daemon daemon) {
    JsonArray endpoints =
        DaemonTestEnvironment.operatorClient(daemon)
            .get("/admin/v1/endpoints")
            .bodyAsJson()
            .getJsonArray("endpoints");
    return endpoints.stream()
        .map(JsonObject.class::cast)
        .anyMatch(
            each -> "engine-0".equals(each.getString("endpoint")) && each.getBoolean("draining"));
  }

  /** Calls the first engine directly, not through a daemon, so that it caches the given key. */
  static void addCacheEntry(Daemon daemon, String cacheKey) {
    JsonArray endpoints =
        DaemonTestEnvironment.operatorClient(daemon)
            .get("/admin/v1/endpoints")
            .bodyAsJson()
            .getJsonArray("endpoints");
    JsonObject engine =
        endpoints.stream()
            .map(JsonObject.class::cast)
            .filter(each -> "engine-0".equals(each.getString("endpoint")))
            .findFirst()
            .orElseThrow();
    int port = Integer.parseInt(engine.getString("address").replaceFirst(".*:", ""));
    JsonObject message = new JsonObject().put("role", "user").put("content", "left behind");
    DaemonClient.Response response =
        new DaemonClient(port, "")
            .post(
                "/v1/chat/completions",
                new JsonObject()
                    .put("model", DaemonTestEnvironment.MODEL)
                    .put("prompt_cache_key", cacheKey)
                    .put("messages", new JsonArray().add(message)));
    assertEquals(200, response.status(), response.body());
  }

  static long shopBudgetUnits(Daemon daemon) {
    JsonArray teams =
        DaemonTestEnvironment.operatorClient(daemon)
            .get("/admin/v1/teams")
            .bodyAsJson()
            .getJsonArray("teams");
    return teams.stream()
        .map(JsonObject.class::cast)
        .filter(team -> "shop".equals(team.getString("team")))
        .mapToLong(team -> team.getLong("budget_units"))
        .findFirst()
        .orElse(-1);
  }

  static JsonObject getHistory(Daemon daemon, String program) {
    return DaemonTestEnvironment.shopClient(daemon)
        .get("/v1/programs/" + program + "/history")
        .bodyAsJson();
  }

  static JsonArray getTurns(Daemon daemon, String program) {
    return getHistory(daemon, program).getJsonArray("turns");
  }

  static List<String> userMessageTexts(JsonArray messages) {
    return messages.stream()
        .map(JsonObject.class::cast)
        .filter(message -> "user".equals(message.getString("role")))
        .map(message -> message.getString("content"))
        .toList();
  }

  static String streamedContent(String events) {
    StringBuilder text = new StringBuilder();
    for (String line : events.lines().toList()) {
      if (!line.startsWith("data: {")) {
        continue;
      }
      JsonArray choices =
          new JsonObject(line.substring("data: ".length()))
              .getJsonArray("choices", new JsonArray());
      for (Object choice : choices) {
        JsonObject delta = ((JsonObject) choice).getJsonObject("delta", new JsonObject());
        text.append(delta.getString("content", ""));
      }
    }
    return text.toString();
  }
}
