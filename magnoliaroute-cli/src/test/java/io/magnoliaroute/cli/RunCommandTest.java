package io.magnoliaroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class RunCommandTest {

  private static final String CHAT_ROUTE = "POST /v1/chat/completions";
  private static final String FINAL_EVENT = "{\"choices\":[],\"outcome\":\"done\",\"turn\":0}";

  @TempDir Path directory;

  private final ApiStub stub = new ApiStub();

  @BeforeEach
  void stubProgramRoutes() {
    AtomicInteger started = new AtomicInteger();
    stub.on(
        "POST /v1/programs",
        (request, body) ->
            ApiStub.jsonResponse(
                    200, "done", new JsonObject().put("program", "p" + started.incrementAndGet()))
                .respond(request, body));
    for (String rest : List.of("p1/end", "p2/end", "p1/cancel", "p1/actions")) {
      stub.on("POST /v1/programs/" + rest, ApiStub.jsonResponse(200, "done", new JsonObject()));
    }
    stub.on(
        CHAT_ROUTE,
        ApiStub.eventStreamResponse(
            deltaEvent("two "), deltaEvent("shops"), FINAL_EVENT, "[DONE]"));
  }

  @AfterEach
  void closeStub() {
    stub.close();
  }

  private static String deltaEvent(String text) {
    JsonObject choice = new JsonObject().put("delta", new JsonObject().put("content", text));
    return new JsonObject().put("choices", new JsonArray().add(choice)).encode();
  }

  private ToolRun run(String file, String... options) {
    String[] args = new String[4 + options.length];
    args[0] = "run";
    args[1] = file;
    args[2] = "--server";
    args[3] = stub.url();
    System.arraycopy(options, 0, args, 4, options.length);
    return ToolRun.execute(Map.of(ServerCommand.TOKEN_VARIABLE, "team-token"), args);
  }

  private String writeFile(String content) throws IOException {
    return Files.writeString(directory.resolve("program.yaml"), content).toString();
  }

  private List<String> requestPaths() {
    return stub.receivedRequests().stream()
        .map(request -> request.path().replace("/v1/", ""))
        .toList();
  }

  @Nested
  final class ExampleProgram {

    /** Guards against steps out of order, or without program, parent or conversation. */
    @Test
    void runsStepsInOrderAndPrintsGeneratedText() {
      ToolRun run = run("../examples/program.yaml");
      assertEquals(ExitCode.OK, run.exitCode(), run::toString);
      assertEquals(
          List.of(
              "programs",
              "chat/completions",
              "programs/p1/actions",
              "programs",
              "chat/completions",
              "programs/p2/end",
              "chat/completions",
              "programs/p1/actions",
              "programs/p1/end"),
          requestPaths());
      assertEquals("p1", stub.receivedRequests().get(3).json().getString("parent"));
      ApiStub.ReceivedRequest secondTurn = stub.receivedRequests().get(6);
      assertEquals("1", secondTurn.turn());
      assertEquals(3, secondTurn.json().getJsonArray("messages").size());
      assertEquals(
          "order-1001", stub.receivedRequests().get(7).json().getString("idempotency_key"));
      assertEquals(
          40,
          stub.receivedRequests()
              .get(2)
              .json()
              .getJsonObject("arguments")
              .getInteger("quantity_kg"));
      assertTrue(run.out().contains("two shops\n"), run::out);
    }

    /** Guards against lines in JSON output that are not JSON. */
    @Test
    void printsOneJsonObjectForEachEvent() {
      ToolRun run = run("../examples/program.yaml", "--output", "json");
      List<String> events =
          run.out().lines().map(line -> new JsonObject(line).getString("event")).toList();
      assertEquals("started", events.get(0));
      assertEquals("ended", events.get(events.size() - 1));
    }
  }

  @Nested
  final class Failures {

    private static final String TWO_TURNS =
        "steps:\n- model_turn: {model: m, prompt: a}\n- model_turn: {model: m, prompt: b}\n";

    /** Guards against continuing a program after a step that did not run. */
    @Test
    void refusedTurnCancelsProgram() throws IOException {
      JsonObject problem = new JsonObject().put("code", "budget_exhausted");
      stub.on(CHAT_ROUTE, ApiStub.jsonResponse(429, "not_run", problem));
      ToolRun run = run(writeFile(TWO_TURNS));
      assertEquals(ExitCode.NOT_RUN, run.exitCode(), run::toString);
      assertEquals(List.of("programs", "chat/completions", "programs/p1/cancel"), requestPaths());
    }

    /** Guards against treating a truncated stream as a complete response. */
    @Test
    void streamWithoutFinalEventIsUnknown() throws IOException {
      stub.on(CHAT_ROUTE, ApiStub.eventStreamResponse(deltaEvent("two ")));
      assertEquals(ExitCode.UNKNOWN, run(writeFile(TWO_TURNS)).exitCode());
    }

    /** Guards against ignoring an error event within a stream. */
    @Test
    void errorEventDeterminesExitCode() throws IOException {
      String error = "{\"status\":502,\"code\":\"endpoint_failed\",\"outcome\":\"not_run\"}";
      stub.on(CHAT_ROUTE, ApiStub.eventStreamResponse(deltaEvent("two "), error));
      ToolRun run = run(writeFile(TWO_TURNS));
      assertEquals(ExitCode.NOT_RUN, run.exitCode(), run::toString);
      assertTrue(run.err().contains("endpoint_failed"), run::err);
    }

    /** Guards against running the first steps of an invalid file. */
    @Test
    void invalidFileStartsNoProgram() throws IOException {
      String file = writeFile("steps:\n- model_turn: {model: m}\n- wait: {duration_ms: 1}\n");
      ToolRun run = run(file);
      assertEquals(ExitCode.FINDINGS, run.exitCode());
      assertTrue(run.err().contains(file + ":2: error: steps/0/model_turn/prompt"), run::err);
      assertTrue(run.err().contains(file + ":3: error: steps/1/wait"), run::err);
      assertFalse(run.err().contains("team-token"));
      assertEquals(List.of(), stub.receivedRequests());
    }
  }
}
