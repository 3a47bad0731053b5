package io.magnoliaroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CommandLineToolTest {

  private static final String TOKEN = "operator-token-1";
  private static final String BRANCH = "/admin/v1/config/teams%2Fcounter";
  private static final String GOOD = "budget: {units_per_period: 10, period_ms: 60000}\n";

  @TempDir Path directory;

  private final ApiStub stub = new ApiStub();

  @AfterEach
  void closeStub() {
    stub.close();
  }

  private ToolRun run(String... words) {
    List<String> args = new ArrayList<>(List.of(words));
    args.add("--server");
    args.add(stub.url());
    ToolRun run =
        ToolRun.of(Map.of(ServerCommand.TOKEN_VARIABLE, TOKEN), args.toArray(String[]::new));
    assertFalse((run.out() + run.err()).contains(TOKEN), "the token was printed");
    return run;
  }

  private String file(String content) throws IOException {
    return Files.writeString(directory.resolve("input.yaml"), content).toString();
  }

  private static void assertExit(ExitCode expected, ToolRun run) {
    assertEquals(expected, run.exitCode(), run::toString);
  }

  @Nested
  final class Usage {

    /** Guards against a command without help. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "config check",
          "config publish",
          "config show",
          "config history",
          "status",
          "teams",
          "programs list",
          "programs show",
          "programs cancel",
          "endpoints list",
          "endpoints drain",
          "endpoints resume",
          "run"
        })
    void everyCommandHasHelp(String command) {
      List<String> words = new ArrayList<>(List.of(command.split(" ")));
      words.add("--help");
      ToolRun run = ToolRun.of(Map.of(), words.toArray(String[]::new));
      assertExit(ExitCode.OK, run);
      assertTrue(run.out().contains("--output"), run::out);
      assertTrue(run.out().contains("magnoliaroute " + command), run::out);
    }

    /** Guards against a usage error that ends like a failure of the server. */
    @Test
    void wrongArgumentsAreUsageErrors() {
      for (String line : List.of("", "nothing", "config show", "status --colour", "run a b")) {
        assertExit(ExitCode.USAGE, ToolRun.of(Map.of(), line.split(" ")));
      }
      assertExit(ExitCode.USAGE, run("status", "--output", "xml"));
      assertExit(ExitCode.USAGE, run("config", "show", "team/counter"));
      ToolRun noToken = ToolRun.of(Map.of(), "status", "--server", stub.url());
      assertExit(ExitCode.USAGE, noToken);
      assertEquals(List.of(), stub.seen());
    }

    /** Guards against a token file that is ignored or sent with its line end. */
    @Test
    void theTokenFileComesBeforeTheEnvironment() throws IOException {
      stub.on("GET /admin/v1/status", ApiStub.json(200, "done", new JsonObject()));
      assertExit(ExitCode.OK, run("status", "--token-file", file("from-file\n")));
      assertEquals("Bearer from-file", stub.seen().get(0).authorization());
    }
  }

  @Nested
  final class Checking {

    /** Guards against example files that the tool itself refuses. */
    @Test
    void theExampleFilesPass() {
      assertExit(ExitCode.OK, ToolRun.of(Map.of(), "config", "check", "../examples/settings.yaml"));
      assertExit(
          ExitCode.OK,
          ToolRun.of(Map.of(), "config", "check", "--process", "../examples/process.yaml"));
    }

    /** Guards against findings without file, line or path. */
    @Test
    void findingsNameFileLineAndPath() throws IOException {
      String file = file(GOOD + "share: 0\n");
      ToolRun text = ToolRun.of(Map.of(), "config", "check", "--branch", "teams/counter", file);
      assertExit(ExitCode.FINDINGS, text);
      assertTrue(text.err().contains(file + ":2: error: teams/counter/share: "), text::err);
      ToolRun json =
          ToolRun.of(
              Map.of(), "config", "check", "--branch", "teams/counter", "--output", "json", file);
      JsonArray findings = new JsonObject(json.out()).getJsonArray("findings");
      assertEquals(2, findings.getJsonObject(1).getInteger("line"));
    }

    /** Guards against a missing file that counts as checked. */
    @Test
    void aFileThatCannotBeReadIsAFailure() {
      ToolRun run = ToolRun.of(Map.of(), "config", "check", directory.resolve("x").toString());
      assertExit(ExitCode.FAILED, run);
    }
  }

  @Nested
  final class Publishing {

    /** Guards against a branch name that is cut at its slash, and a base that is not sent. */
    @Test
    void theBranchIsEncodedAndSentWithItsBase() throws IOException {
      JsonObject reply = new JsonObject().put("version", 12);
      stub.on("POST " + BRANCH, ApiStub.json(200, "done", reply));
      ToolRun run = run("config", "publish", "teams/counter", file(GOOD), "--base", "7");
      assertExit(ExitCode.OK, run);
      assertEquals("published teams/counter, version 12\n", run.out());
      ApiStub.Seen seen = stub.seen().get(0);
      assertEquals(new JsonObject().put("base", 7).put("yaml", GOOD), seen.json());
      assertEquals("Bearer " + TOKEN, seen.authorization());
    }

    /** Guards against a publication that overwrites a version the operator has not seen. */
    @Test
    void aBaseMustBeGiven() throws IOException {
      assertExit(ExitCode.USAGE, run("config", "publish", "teams/counter", file(GOOD)));
      assertEquals(List.of(), stub.seen());
    }

    /** Guards against a wrong branch that is sent although the local check refuses it. */
    @Test
    void aWrongFileIsNotSent() throws IOException {
      ToolRun run = run("config", "publish", "teams/counter", file("share: 1\n"), "--new");
      assertExit(ExitCode.FINDINGS, run);
      assertEquals(List.of(), stub.seen());
    }

    /** Guards against a lost race or server-side findings that look like success. */
    @Test
    void conflictsAndFindingsOfTheServerAreReported() throws IOException {
      JsonObject conflict =
          new JsonObject().put("code", "config_conflict").put("detail", "the version is 9");
      stub.on("POST " + BRANCH, ApiStub.json(409, "not_run", conflict));
      ToolRun run = run("config", "publish", "teams/counter", file(GOOD), "--base", "7");
      assertExit(ExitCode.NOT_RUN, run);
      assertTrue(run.err().contains("the version is 9"), run::err);
      JsonObject finding =
          new JsonObject()
              .put("file", "teams/counter")
              .put("line", 3)
              .put("path", "teams/counter/tool_rules/0/service")
              .put("message", "names a pool that does not exist")
              .put("severity", "error");
      JsonObject findings =
          new JsonObject()
              .put("code", "config_findings")
              .put("findings", new JsonArray().add(finding));
      stub.on("POST " + BRANCH, ApiStub.json(422, "not_run", findings));
      run = run("config", "publish", "teams/counter", "--delete", "--base", "7");
      assertExit(ExitCode.FINDINGS, run);
      assertTrue(run.err().contains("teams/counter:3: error: teams/counter/tool"), run::err);
    }
  }

  @Nested
  final class Outcomes {

    /** Guards against an exit code that is taken from the status instead of the outcome. */
    @Test
    void theOutcomeDecidesAndNotTheStatus() {
      String path = "POST /admin/v1/endpoints/e1/drain";
      stub.on(path, ApiStub.json(503, "unknown", new JsonObject()));
      assertExit(ExitCode.UNKNOWN, run("endpoints", "drain", "e1"));
      stub.on(path, ApiStub.json(503, "not_run", new JsonObject()));
      assertExit(ExitCode.NOT_RUN, run("endpoints", "drain", "e1"));
      stub.on(path, ApiStub.json(200, "unknown", new JsonObject()));
      assertExit(ExitCode.UNKNOWN, run("endpoints", "drain", "e1"));
      stub.on(path, ApiStub.json(500, "done", new JsonObject()));
      assertExit(ExitCode.FAILED, run("endpoints", "drain", "e1"));
      stub.on(path, (request, body) -> request.response().end("<html>"));
      assertExit(ExitCode.FAILED, run("endpoints", "drain", "e1"));
    }

    /** Guards against a change whose answer was lost and that is reported as not made. */
    @Test
    void aLostAnswerIsUnknownForChangesOnly() {
      stub.on("POST /v1/programs/p1/cancel", ApiStub.lost());
      assertExit(ExitCode.UNKNOWN, run("programs", "cancel", "p1"));
      stub.on("GET /v1/programs/p1", ApiStub.lost());
      assertExit(ExitCode.UNREACHABLE, run("programs", "show", "p1"));
      stub.close();
      assertExit(ExitCode.UNREACHABLE, run("programs", "cancel", "p1"));
    }
  }

  @Nested
  final class Listing {

    /** Guards against columns that do not fit the fields of the server. */
    @Test
    void endpointsArePrintedAsATableOrAsJson() {
      JsonObject endpoint = new JsonObject().put("endpoint", "chat-1").put("draining", true);
      JsonObject reply = new JsonObject().put("endpoints", new JsonArray().add(endpoint));
      stub.on("GET /admin/v1/endpoints", ApiStub.json(200, "done", reply));
      List<String> lines = run("endpoints", "list").out().lines().toList();
      assertTrue(lines.get(0).matches("endpoint +pool +kind .*draining"), lines.get(0));
      assertTrue(lines.get(1).matches("chat-1 +- +- .*true"), lines.get(1));
      JsonObject json = new JsonObject(run("endpoints", "list", "--output", "json").out());
      assertEquals("chat-1", json.getJsonArray("endpoints").getJsonObject(0).getString("endpoint"));
    }

    /** Guards against a version that ends up in the YAML when the output is redirected. */
    @Test
    void showPrintsTheYamlAlone() {
      JsonObject reply = new JsonObject().put("version", 7).put("yaml", GOOD);
      stub.on("GET " + BRANCH, ApiStub.json(200, "done", reply));
      ToolRun run = run("config", "show", "teams/counter");
      assertEquals(GOOD, run.out());
      assertEquals("version 7\n", run.err());
    }

    /** Guards against times that are printed as raw milliseconds. */
    @Test
    void historyPrintsVersionsWithTimeAndAuthor() {
      JsonObject version =
          new JsonObject().put("version", 7).put("author", "ana").put("time_ms", 0);
      JsonObject reply = new JsonObject().put("versions", new JsonArray().add(version));
      stub.on("GET " + BRANCH + "/history", ApiStub.json(200, "done", reply));
      String out = run("config", "history", "teams/counter").out();
      assertTrue(out.contains("7        1970-01-01T00:00:00Z  ana"), out);
    }
  }
}
