package io.magnoliaroute.daemon.features;

import io.magnoliaroute.daemon.Daemon;
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
