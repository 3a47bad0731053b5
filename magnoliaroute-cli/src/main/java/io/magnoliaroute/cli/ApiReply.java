package io.magnoliaroute.cli;

import io.magnoliaroute.core.model.Outcome;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/**
 * The answer to one request.
 *
 * @param status the HTTP status
 * @param outcome what became of the request, if the answer says
 * @param body the JSON body
 */
record ApiReply(int status, Optional<Outcome> outcome, JsonObject body) {

  private static final int FIRST_ERROR_STATUS = 400;

  static ApiReply of(int status, String outcomeHeader, JsonObject body) {
    String text = body.getValue("outcome") instanceof String named ? named : outcomeHeader;
    return new ApiReply(status, parse(text), body);
  }

  private static Optional<Outcome> parse(String text) {
    for (Outcome outcome : Outcome.values()) {
      if (outcome.wireName().equals(text)) {
        return Optional.of(outcome);
      }
    }
    return Optional.empty();
  }

  boolean done() {
    return status < FIRST_ERROR_STATUS && outcome.equals(Optional.of(Outcome.DONE));
  }

  Optional<String> code() {
    return body.getValue("code") instanceof String code ? Optional.of(code) : Optional.empty();
  }

  /** Returns what ends the command; the exit code comes from the outcome, not from the status. */
  CommandFailure failure() {
    return new CommandFailure(exitCode(), message());
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

  private String message() {
    StringBuilder text = new StringBuilder();
    text.append(outcome.map(Outcome::wireName).orElse("no outcome"));
    code().ifPresent(code -> text.append(": ").append(code));
    Object detail = body.getValue("detail", body.getValue("title"));
    text.append(": ").append(detail == null ? "status " + status : detail);
    if (body.getValue("findings") instanceof JsonArray findings) {
      for (int i = 0; i < findings.size(); i++) {
        text.append(System.lineSeparator()).append(finding(findings.getJsonObject(i)));
      }
    }
    return text.toString();
  }

  private static String finding(JsonObject finding) {
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
