package io.magnoliaroute.cli;

import io.magnoliaroute.core.settings.ProgramScript;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Optional;

/** Executes the steps of a program in sequence. */
final class ScriptRunner {

  private final ApiClient client;
  private final ProgressPrinter progress;

  ScriptRunner(ApiClient client, ProgressPrinter progress) {
    this.client = client;
    this.progress = progress;
  }

  /** Runs the program to completion; cancels it if a step fails. */
  void run(ProgramScript script, Optional<String> parent) throws CommandException {
    String program = startProgram(script, parent);
    try {
      runSteps(script, program);
    } catch (CommandException e) {
      cancelProgram(program);
      throw e;
    }
    ServerCommand.request(
        client, HttpMethod.POST, programPath(program, "/end"), Optional.of(new JsonObject()));
    progress.printEvent("ended", new JsonObject().put("program", program));
  }

  private static String programPath(String program, String suffix) {
    return "/v1/programs/" + ApiClient.encodePathSegment(program) + suffix;
  }

  private String startProgram(ProgramScript script, Optional<String> parent)
      throws CommandException {
    JsonObject body = new JsonObject();
    script.kind().ifPresent(kind -> body.put("kind", kind));
    script.priority().ifPresent(priority -> body.put("class", priority.wireName()));
    script.deadlineMs().ifPresent(deadline -> body.put("deadline_ms", deadline));
    parent.ifPresent(id -> body.put("parent", id));
    JsonObject response =
        ServerCommand.request(client, HttpMethod.POST, "/v1/programs", Optional.of(body));
    String program = response.getString("program");
    if (program == null) {
      throw new CommandException(
          ExitCode.FAILED, "the server response to the program start contains no program id");
    }
    progress.printEvent("started", new JsonObject().put("program", program));
    return program;
  }

  private void runSteps(ProgramScript script, String program) throws CommandException {
    // Each turn sends the whole conversation, as the chat completions API requires.
    JsonArray conversation = new JsonArray();
    int turnNumber = 0;
    int stepNumber = 0;
    for (ProgramScript.Step step : script.steps()) {
      stepNumber++;
      if (step instanceof ProgramScript.ModelTurn modelTurn) {
        runModelTurn(program, turnNumber++, modelTurn, conversation);
      } else if (step instanceof ProgramScript.Action action) {
        runAction(program, stepNumber, action);
      } else if (step instanceof ProgramScript.Pause pause) {
        pause(pause);
      } else if (step instanceof ProgramScript.SubAgent subAgent) {
        run(subAgent.script(), Optional.of(program));
      }
    }
  }

  private void runModelTurn(
      String program, int turnNumber, ProgramScript.ModelTurn step, JsonArray conversation)
      throws CommandException {
    conversation.add(new JsonObject().put("role", "user").put("content", step.prompt()));
    JsonObject body =
        new JsonObject()
            .put("model", step.model())
            .put("max_tokens", step.maxTokens())
            .put("stream", true)
            .put("messages", conversation);
    StringBuilder generatedText = new StringBuilder();
    Map<String, String> headers =
        Map.of(
            "Magnoliaroute-Program", program, "Magnoliaroute-Turn", Integer.toString(turnNumber));
    ApiResponse response =
        client.executeStreaming(
            "/v1/chat/completions",
            body,
            headers,
            event -> generatedText.append(progress.printTokens(event)));
    if (generatedText.length() > 0) {
      progress.endTextLine();
    }
    if (!response.isDone()) {
      throw response.toException();
    }
    conversation.add(
        new JsonObject().put("role", "assistant").put("content", generatedText.toString()));
    JsonObject fields = new JsonObject().put("turn", turnNumber);
    copyField(response.body(), fields, "outcome");
    copyField(response.body(), fields, "history");
    copyField(response.body(), fields, "urgent_demoted");
    copyField(response.body(), fields, "usage");
    progress.printEvent("turn", fields);
  }

  private static void copyField(JsonObject from, JsonObject to, String field) {
    if (from.containsKey(field)) {
      to.put(field, from.getValue(field));
    }
  }

  private void runAction(String program, int stepNumber, ProgramScript.Action step)
      throws CommandException {
    JsonObject body =
        new JsonObject()
            .put("service", step.service())
            .put("operation", step.operation())
            .put("arguments", new JsonObject(step.arguments()))
            .put("idempotent", step.idempotent())
            .put("idempotency_key", step.idempotencyKey().orElse("step-" + stepNumber));
    JsonObject response =
        ServerCommand.request(
            client, HttpMethod.POST, programPath(program, "/actions"), Optional.of(body));
    progress.printEvent(
        "action", new JsonObject().put("operation", step.operation()).mergeIn(response));
  }

  private void pause(ProgramScript.Pause step) throws CommandException {
    progress.printEvent("pause", new JsonObject().put("duration_ms", step.durationMs()));
    try {
      Thread.sleep(step.durationMs());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitCode.FAILED, "interrupted during a pause step");
    }
  }

  private void cancelProgram(String program) {
    try {
      ServerCommand.request(
          client, HttpMethod.POST, programPath(program, "/cancel"), Optional.of(new JsonObject()));
      progress.printEvent("cancelled", new JsonObject().put("program", program));
    } catch (CommandException e) {
      // Only the original failure is reported; the server ends the program when it lapses.
      progress.printEvent("not_cancelled", new JsonObject().put("program", program));
    }
  }
}
