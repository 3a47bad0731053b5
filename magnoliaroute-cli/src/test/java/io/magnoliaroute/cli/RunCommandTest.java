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

  private static final String CHAT = "POST /v1/chat/completions";
  private static final String FINAL = "{\"choices\":[],\"outcome\":\"done\",\"turn\":0}";

  @TempDir Path directory;

  private final ApiStub stub = new ApiStub();

  @BeforeEach
  void answerPrograms() {
    AtomicInteger started = new AtomicInteger();
    stub.on(
        "POST /v1/programs",
        (request, body) ->
            ApiStub.json(
                    200, "done", new JsonObject().put("program", "p" + started.incrementAndGet()))
                .to(request, body));
    for (String rest : List.of("p1/end", "p2/end", "p1/cancel", "p1/actions")) {
      stub.on("POST /v1/programs/" + rest, ApiStub.json(200, "done", new JsonObject()));
    }
    stub.on(CHAT, ApiStub.events(delta("two "), delta("shops"), FINAL, "[DONE]"));
  }

  @AfterEach
  void closeStub() {
    stub.close();
  }

  private static String delta(String text) {
    JsonObject choice = new JsonObject().put("delta", new JsonObject().put("content", text));
    return new JsonObject().put("choices", new JsonArray().add(choice)).encode();
  }

  private ToolRun run(String file, String... more) {
    String[] args = new String[4 + more.length];
    args[0] = "run";
    args[1] = file;
    args[2] = "--server";
    args[3] = stub.url();
    System.arraycopy(more, 0, args, 4, more.length);
    return ToolRun.of(Map.of(ServerCommand.TOKEN_VARIABLE, "team-token"), args);
  }

  private String file(String content) throws IOException {
    return Files.writeString(directory.resolve("program.yaml"), content).toString();
  }

  private List<String> calls() {
    return stub.seen().stream().map(seen -> seen.path().replace("/v1/", "")).toList();
  }

  @Nested
  final class TheExample {

    /** Guards against steps that run out of order, or without program, parent or conversation. */
    @Test
    void runsItsStepsInOrderAndFollowsTheAnswers() {
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
          calls());
      assertEquals("p1", stub.seen().get(3).json().getString("parent"));
      ApiStub.Seen secondTurn = stub.seen().get(6);
      assertEquals("1", secondTurn.turn());
      assertEquals(3, secondTurn.json().getJsonArray("messages").size());
      assertEquals("order-1001", stub.seen().get(7).json().getString("idempotency_key"));
      assertEquals(
          40, stub.seen().get(2).json().getJsonObject("arguments").getInteger("quantity_kg"));
      assertTrue(run.out().contains("two shops\n"), run::out);
    }

    /** Guards against JSON output with lines that are not JSON. */
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

    /** Guards against a program that goes on after a step that did not run. */
    @Test
    void aRefusedTurnCancelsTheProgram() throws IOException {
      JsonObject problem = new JsonObject().put("code", "budget_exhausted");
      stub.on(CHAT, ApiStub.json(429, "not_run", problem));
      ToolRun run = run(file(TWO_TURNS));
      assertEquals(ExitCode.NOT_RUN, run.exitCode(), run::toString);
      assertEquals(List.of("programs", "chat/completions", "programs/p1/cancel"), calls());
    }

    /** Guards against a cut stream that is taken for a whole answer. */
    @Test
    void aStreamWithoutAFinalEventIsUnknown() throws IOException {
      stub.on(CHAT, ApiStub.events(delta("two ")));
      assertEquals(ExitCode.UNKNOWN, run(file(TWO_TURNS)).exitCode());
    }

    /** Guards against an error inside a stream that is not seen. */
    @Test
    void anErrorEventEndsWithItsOutcome() throws IOException {
      String error = "{\"status\":502,\"code\":\"endpoint_failed\",\"outcome\":\"not_run\"}";
      stub.on(CHAT, ApiStub.events(delta("two "), error));
      ToolRun run = run(file(TWO_TURNS));
      assertEquals(ExitCode.NOT_RUN, run.exitCode(), run::toString);
      assertTrue(run.err().contains("endpoint_failed"), run::err);
    }

    /** Guards against a wrong file of which the first steps run. */
    @Test
    void aWrongFileStartsNothing() throws IOException {
      String file = file("steps:\n- model_turn: {model: m}\n- wait: {duration_ms: 1}\n");
      ToolRun run = run(file);
      assertEquals(ExitCode.FINDINGS, run.exitCode());
      assertTrue(run.err().contains(file + ":2: error: steps/0/model_turn/prompt"), run::err);
      assertTrue(run.err().contains(file + ":3: error: steps/1/wait"), run::err);
      assertFalse(run.err().contains("team-token"));
      assertEquals(List.of(), stub.seen());
    }
  }
}
