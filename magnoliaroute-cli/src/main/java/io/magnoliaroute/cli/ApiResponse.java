package io.magnoliaroute.cli;

import io.magnoliaroute.core.model.Outcome;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/**
 * Response to one API request.
 *
 * @param status the HTTP status
 * @param outcome the outcome of the request, if the response contains one
 * @param body the JSON body
 */
record ApiResponse(int status, Optional<Outcome> outcome, JsonObject body) {

  private static final int FIRST_ERROR_STATUS = 400;

  /** Creates a response; an outcome in the body takes precedence over the header. */
  static ApiResponse of(int status, String outcomeHeader, JsonObject body) {
    String wireName = body.getValue("outcome") instanceof String inBody ? inBody : outcomeHeader;
    return new ApiResponse(status, parseOutcome(wireName), body);
  }

  private static Optional<Outcome> parseOutcome(String wireName) {
    for (Outcome outcome : Outcome.values()) {
      if (outcome.wireName().equals(wireName)) {
        return Optional.of(outcome);
      }
    }
    return Optional.empty();
  }

  boolean isDone() {
    return status < FIRST_ERROR_STATUS && outcome.equals(Optional.of(Outcome.DONE));
  }

  Optional<String> code() {
    return body.getValue("code") instanceof String code ? Optional.of(code) : Optional.empty();
  }

  /** Creates an exception whose exit code follows from the outcome, not from the HTTP status. */
  CommandException toException() {
    return new CommandException(exitCode(), formatMessage());
  }

  private ExitCode exitCode() {
    if (code().equals(Optional.of("config_findings"))) {
      return ExitCode.FINDINGS;
    }
    if (outcome.isEmpty()) {
      return ExitCode.FAILED;
    }
    return switch (outcome.get()) {
      case NOT_RUN -> ExitCode.NOT_RUN;
      case UNKNOWN -> ExitCode.UNKNOWN;
      default -> ExitCode.FAILED;
    };
  }

  private String formatMessage() {
    StringBuilder text = new StringBuilder();
    text.append(outcome.map(Outcome::wireName).orElse("no outcome"));
    code().ifPresent(code -> text.append(": ").append(code));
    Object detail = body.getValue("detail", body.getValue("title"));
    text.append(": ").append(detail == null ? "status " + status : detail);
    if (body.getValue("findings") instanceof JsonArray findings) {
      for (int i = 0; i < findings.size(); i++) {
        text.append(System.lineSeparator()).append(formatFinding(findings.getJsonObject(i)));
      }
    }
    return text.toString();
  }

  private static String formatFinding(JsonObject finding) {
    return finding.getString("file")
        + ":"
        + finding.getInteger("line")
        + ": "
        + finding.getString("severity")
        + ": "
        + finding.getString("path")
        + ": "
        + finding.getString("message");
  }
}
