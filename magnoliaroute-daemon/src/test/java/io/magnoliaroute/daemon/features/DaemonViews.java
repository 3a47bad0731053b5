package io.magnoliaroute.daemon.features;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.Daemon;
import io.magnoliaroute.daemon.support.Caller;
import io.magnoliaroute.daemon.support.TestWorld;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** What callers and operators see of a daemon. */
final class DaemonViews {

  private DaemonViews() {}

  static boolean isDraining(Daemon daemon) {
    JsonArray endpoints =
        TestWorld.operator(daemon).get("/admin/v1/endpoints").json().getJsonArray("endpoints");
    return endpoints.stream()
        .map(JsonObject.class::cast)
        .anyMatch(
            each -> "engine-0".equals(each.getString("endpoint")) && each.getBoolean("draining"));
  }

  /** Calls an engine without a daemon, so that its cache holds the key. */
  static void fillCache(Daemon daemon, String cacheKey) {
    JsonArray endpoints =
        TestWorld.operator(daemon).get("/admin/v1/endpoints").json().getJsonArray("endpoints");
    JsonObject engine =
        endpoints.stream()
            .map(JsonObject.class::cast)
            .filter(each -> "engine-0".equals(each.getString("endpoint")))
            .findFirst()
            .orElseThrow();
    int port = Integer.parseInt(engine.getString("address").replaceFirst(".*:", ""));
    JsonObject message = new JsonObject().put("role", "user").put("content", "left behind");
    Caller.Reply reply =
        new Caller(port, "")
            .post(
                "/v1/chat/completions",
                new JsonObject()
                    .put("model", TestWorld.MODEL)
                    .put("prompt_cache_key", cacheKey)
                    .put("messages", new JsonArray().add(message)));
    assertEquals(200, reply.status(), reply.text());
  }

  static long budgetAt(Daemon daemon) {
    JsonArray teams =
        TestWorld.operator(daemon).get("/admin/v1/teams").json().getJsonArray("teams");
    return teams.stream()
        .map(JsonObject.class::cast)
        .filter(team -> "shop".equals(team.getString("team")))
        .mapToLong(team -> team.getLong("budget_units"))
        .findFirst()
        .orElse(-1);
  }

  static JsonObject historyAt(Daemon daemon, String program) {
    return TestWorld.caller(daemon).get("/v1/programs/" + program + "/history").json();
  }

  static JsonArray turnsAt(Daemon daemon, String program) {
    return historyAt(daemon, program).getJsonArray("turns");
  }

  static List<String> askedTexts(JsonArray messages) {
    return messages.stream()
        .map(JsonObject.class::cast)
        .filter(message -> "user".equals(message.getString("role")))
        .map(message -> message.getString("content"))
        .toList();
  }

  static String streamedText(String events) {
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
