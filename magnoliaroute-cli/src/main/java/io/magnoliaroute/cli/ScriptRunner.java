package io.magnoliaroute.cli;

import io.magnoliaroute.core.settings.ProgramScript;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Optional;

/** Carries out the steps of a program one after the other. */
final class ScriptRunner {

  private final ApiClient client;
  private final RunProgress progress;

  ScriptRunner(ApiClient client, RunProgress progress) {
    this.client = client;
    this.progress = progress;
  }

  /** Runs the program to its end; cancels it if a step fails. */
  void run(ProgramScript script, Optional<String> parent) throws CommandFailure {
    String program = start(script, parent);
    try {
      runSteps(script, program);
    } catch (CommandFailure e) {
      cancel(program);
      throw e;
    }
    ServerCommand.request(
        client, HttpMethod.POST, path(program, "/end"), Optional.of(new JsonObject()));
    progress.event("ended", new JsonObject().put("program", program));
  }

  private static String path(String program, String rest) {
    return "/v1/programs/" + ApiClient.segment(program) + rest;
  }

  private String start(ProgramScript script, Optional<String> parent) throws CommandFailure {
    JsonObject body = new JsonObject();
    script.kind().ifPresent(kind -> body.put("kind", kind));
    script.priority().ifPresent(priority -> body.put("class", priority.wireName()));
    script.deadlineMs().ifPresent(deadline -> body.put("deadline_ms", deadline));
    parent.ifPresent(id -> body.put("parent", id));
    JsonObject reply =
        ServerCommand.request(client, HttpMethod.POST, "/v1/programs", Optional.of(body));
    String program = reply.getString("program");
    if (program == null) {
      throw new CommandFailure(ExitCode.FAILED, "the server started a program without an id");
    }
    progress.event("started", new JsonObject().put("program", program));
    return program;
  }

  private void runSteps(ProgramScript script, String program) throws CommandFailure {
    // The whole conversation goes with each turn, as in the chat-completions shape.
    JsonArray conversation = new JsonArray();
    int turn = 0;
    int number = 0;
    for (ProgramScript.Step step : script.steps()) {
      number++;
      if (step instanceof ProgramScript.ModelTurn modelTurn) {
        turn(program, turn++, modelTurn, conversation);
      } else if (step instanceof ProgramScript.Action action) {
        action(program, number, action);
      } else if (step instanceof ProgramScript.Pause pause) {
        pause(pause);
      } else if (step instanceof ProgramScript.SubAgent subAgent) {
        run(subAgent.script(), Optional.of(program));
      }
    }
  }

  private void turn(String program, int turn, ProgramScript.ModelTurn step, JsonArray conversation)
      throws CommandFailure {
    conversation.add(new JsonObject().put("role", "user").put("content", step.prompt()));
    JsonObject body =
        new JsonObject()
            .put("model", step.model())
            .put("max_tokens", step.maxTokens())
            .put("stream", true)
            .put("messages", conversation);
    StringBuilder answer = new StringBuilder();
    Map<String, String> headers =
        Map.of("Magnoliaroute-Program", program, "Magnoliaroute-Turn", Integer.toString(turn));
    ApiReply reply =
        client.stream(
            "/v1/chat/completions", body, headers, event -> answer.append(progress.tokens(event)));
    if (answer.length() > 0) {
      progress.endOfText();
    }
    if (!reply.done()) {
      throw reply.failure();
    }
    conversation.add(new JsonObject().put("role", "assistant").put("content", answer.toString()));
    JsonObject fields = new JsonObject().put("turn", turn);
    copy(reply.body(), fields, "outcome");
    copy(reply.body(), fields, "history");
    copy(reply.body(), fields, "urgent_demoted");
    copy(reply.body(), fields, "usage");
    progress.event("turn", fields);
  }

  private static void copy(JsonObject from, JsonObject to, String field) {
    if (from.containsKey(field)) {
      to.put(field, from.getValue(field));
    }
  }

  private void action(String program, int number, ProgramScript.Action step) throws CommandFailure {
    JsonObject body =
        new JsonObject()
            .put("service", step.service())
            .put("operation", step.operation())
            .put("arguments", new JsonObject(step.arguments()))
            .put("idempotent", step.idempotent())
            .put("idempotency_key", step.idempotencyKey().orElse("step-" + number));
    JsonObject reply =
        ServerCommand.request(
            client, HttpMethod.POST, path(program, "/actions"), Optional.of(body));
    progress.event("action", new JsonObject().put("operation", step.operation()).mergeIn(reply));
  }

  private void pause(ProgramScript.Pause step) throws CommandFailure {
    progress.event("pause", new JsonObject().put("duration_ms", step.durationMs()));
    try {
      Thread.sleep(step.durationMs());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandFailure(ExitCode.FAILED, "interrupted during a pause");
    }
  }

  private void cancel(String program) {
    try {
      ServerCommand.request(
          client, HttpMethod.POST, path(program, "/cancel"), Optional.of(new JsonObject()));
      progress.event("cancelled", new JsonObject().put("program", program));
    } catch (CommandFailure e) {
      // The first failure is the one to report; the program lapses on its own.
      progress.event("not_cancelled", new JsonObject().put("program", program));
    }
  }
}
