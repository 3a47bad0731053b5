package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.settings.ProgramDefaults;
import io.magnoliaroute.core.settings.TeamSettings;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.ProblemException;
import io.magnoliaroute.daemon.settings.ActiveSettings.SettingsSnapshot;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/**
 * The caller's parameters of a new program, with defaults from the settings of its program kind.
 *
 * @param priority the priority class
 * @param deadlineAtMs the wall-clock time by which the program must end, 0 for none
 * @param parent the program whose sub-agent this is
 * @param clientKey the caller's idempotency key for the start
 */
record StartRequest(
    PriorityClass priority,
    long deadlineAtMs,
    Optional<ProgramId> parent,
    Optional<String> clientKey) {

  static StartRequest parse(CallerRequest request, SettingsSnapshot settings, long nowMs)
      throws ProblemException {
    try {
      JsonObject json =
          request.body().sizeBytes() == 0
              ? new JsonObject()
              : Buffer.buffer(request.body().toArray()).toJsonObject();
      ProgramDefaults kind = kindSettings(json, request, settings);
      String priority = json.getString("class", kind.priority().wireName());
      long deadlineMs = json.getLong("deadline_ms", kind.deadlineMs());
      if (deadlineMs < 0) {
        throw invalid("deadline_ms must not be negative, was " + deadlineMs);
      }
      return new StartRequest(
          PriorityClass.ofWireName(priority),
          deadlineMs == 0 ? 0 : nowMs + deadlineMs,
          Optional.ofNullable(json.getString("parent")).map(ProgramId::new),
          request.field(CallerRequest.Fields.IDEMPOTENCY_KEY));
    } catch (DecodeException | ClassCastException | IllegalArgumentException e) {
      throw invalid("the body is not a program: " + e.getMessage());
    }
  }

  private static ProgramDefaults kindSettings(
      JsonObject json, CallerRequest request, SettingsSnapshot settings) throws ProblemException {
    ProgramDefaults defaults = new ProgramDefaults("", PriorityClass.NORMAL, 0);
    String name = json.getString("kind");
    if (name == null) {
      return defaults;
    }
    TeamSettings team = settings.tree().teams().get(request.team());
    ProgramDefaults settingsOfKind = team == null ? null : team.programs().get(name);
    if (settingsOfKind == null) {
      throw invalid("the team has no kind of program '" + name + "'");
    }
    return settingsOfKind;
  }

  private static ProblemException invalid(String detail) {
    return Problem.of(ProblemCode.INVALID_REQUEST, detail).asException();
  }
}
