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
  private static final String BRANCH_PATH = "/admin/v1/config/teams%2Fcounter";
  private static final String VALID_BRANCH_YAML =
      "budget: {units_per_period: 10, period_ms: 60000}\n";

  @TempDir Path directory;

  private final ApiStub stub = new ApiStub();

  @AfterEach
  void closeStub() {
    stub.close();
  }

  private ToolRun run(String... arguments) {
    List<String> args = new ArrayList<>(List.of(arguments));
    args.add("--server");
    args.add(stub.url());
    ToolRun run =
        ToolRun.execute(Map.of(ServerCommand.TOKEN_VARIABLE, TOKEN), args.toArray(String[]::new));
    assertFalse((run.out() + run.err()).contains(TOKEN), "the token was printed");
    return run;
  }

  private String writeFile(String content) throws IOException {
    return Files.writeString(directory.resolve("input.yaml"), content).toString();
  }

  private static void assertExitCode(ExitCode expected, ToolRun run) {
    assertEquals(expected, run.exitCode(), run::toString);
  }

  @Nested
  final class Usage {

    /** Guards against a command that has no help. */
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
      List<String> arguments = new ArrayList<>(List.of(command.split(" ")));
      arguments.add("--help");
      ToolRun run = ToolRun.execute(Map.of(), arguments.toArray(String[]::new));
      assertExitCode(ExitCode.OK, run);
      assertTrue(run.out().contains("--output"), run::out);
      assertTrue(run.out().contains("magnoliaroute " + command), run::out);
    }

    /** Guards against a usage error that is reported as a server failure. */
    @Test
    void wrongArgumentsAreUsageErrors() {
      for (String commandLine :
          List.of("", "nothing", "config show", "status --colour", "run a b")) {
        assertExitCode(ExitCode.USAGE, ToolRun.execute(Map.of(), commandLine.split(" ")));
      }
      assertExitCode(ExitCode.USAGE, run("status", "--output", "xml"));
      assertExitCode(ExitCode.USAGE, run("config", "show", "team/counter"));
      ToolRun noToken = ToolRun.execute(Map.of(), "status", "--server", stub.url());
      assertExitCode(ExitCode.USAGE, noToken);
      assertEquals(List.of(), stub.receivedRequests());
    }

    /** Guards against a token file that is ignored or sent with its trailing line break. */
    @Test
    void tokenFileOverridesEnvironment() throws IOException {
      stub.on("GET /admin/v1/status", ApiStub.jsonResponse(200, "done", new JsonObject()));
      assertExitCode(ExitCode.OK, run("status", "--token-file", writeFile("from-file\n")));
      assertEquals("Bearer from-file", stub.receivedRequests().get(0).authorization());
    }
  }

  @Nested
  final class ConfigCheck {

    /** Guards against example files that do not pass the check. */
    @Test
    void exampleFilesAreValid() {
      assertExitCode(
          ExitCode.OK, ToolRun.execute(Map.of(), "config", "check", "../examples/settings.yaml"));
      assertExitCode(
          ExitCode.OK,
          ToolRun.execute(Map.of(), "config", "check", "--process", "../examples/process.yaml"));
    }

    /** Guards against findings without file, line or path. */
    @Test
    void findingsContainFileLineAndPath() throws IOException {
      String file = writeFile(VALID_BRANCH_YAML + "share: 0\n");
      ToolRun text =
          ToolRun.execute(Map.of(), "config", "check", "--branch", "teams/counter", file);
      assertExitCode(ExitCode.FINDINGS, text);
      assertTrue(text.err().contains(file + ":2: error: teams/counter/share: "), text::err);
      ToolRun json =
          ToolRun.execute(
              Map.of(), "config", "check", "--branch", "teams/counter", "--output", "json", file);
      JsonArray findings = new JsonObject(json.out()).getJsonArray("findings");
      assertEquals(2, findings.getJsonObject(1).getInteger("line"));
    }

    /** Guards against a missing file that is reported as valid. */
    @Test
    void unreadableFileFails() {
      ToolRun run = ToolRun.execute(Map.of(), "config", "check", directory.resolve("x").toString());
      assertExitCode(ExitCode.FAILED, run);
    }
  }

  @Nested
  final class ConfigPublish {

    /** Guards against a branch name truncated at its slash, and a base version that is not sent. */
    @Test
    void branchNameIsEncodedAndBaseVersionIsSent() throws IOException {
      JsonObject response = new JsonObject().put("version", 12);
      stub.on("POST " + BRANCH_PATH, ApiStub.jsonResponse(200, "done", response));
      ToolRun run =
          run("config", "publish", "teams/counter", writeFile(VALID_BRANCH_YAML), "--base", "7");
      assertExitCode(ExitCode.OK, run);
      assertEquals("published teams/counter, version 12\n", run.out());
      ApiStub.ReceivedRequest request = stub.receivedRequests().get(0);
      assertEquals(new JsonObject().put("base", 7).put("yaml", VALID_BRANCH_YAML), request.json());
      assertEquals("Bearer " + TOKEN, request.authorization());
    }

    /** Guards against overwriting a version that the operator has not reviewed. */
    @Test
    void baseVersionIsRequired() throws IOException {
      assertExitCode(
          ExitCode.USAGE, run("config", "publish", "teams/counter", writeFile(VALID_BRANCH_YAML)));
      assertEquals(List.of(), stub.receivedRequests());
    }

    /** Guards against sending a branch that fails the local check. */
    @Test
    void invalidFileIsNotSent() throws IOException {
      ToolRun run = run("config", "publish", "teams/counter", writeFile("share: 1\n"), "--new");
      assertExitCode(ExitCode.FINDINGS, run);
      assertEquals(List.of(), stub.receivedRequests());
    }

    /** Guards against reporting a version conflict or server-side findings as success. */
    @Test
    void serverConflictsAndFindingsAreReported() throws IOException {
      JsonObject conflict =
          new JsonObject().put("code", "config_conflict").put("detail", "the version is 9");
      stub.on("POST " + BRANCH_PATH, ApiStub.jsonResponse(409, "not_run", conflict));
      ToolRun run =
          run("config", "publish", "teams/counter", writeFile(VALID_BRANCH_YAML), "--base", "7");
      assertExitCode(ExitCode.NOT_RUN, run);
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
      stub.on("POST " + BRANCH_PATH, ApiStub.jsonResponse(422, "not_run", findings));
      run = run("config", "publish", "teams/counter", "--delete", "--base", "7");
      assertExitCode(ExitCode.FINDINGS, run);
      assertTrue(run.err().contains("teams/counter:3: error: teams/counter/tool"), run::err);
    }
  }

  @Nested
  final class Outcomes {

    /** Guards against deriving the exit code from the HTTP status instead of the outcome. */
    @Test
    void exitCodeFollowsOutcomeNotStatus() {
      String path = "POST /admin/v1/endpoints/e1/drain";
      stub.on(path, ApiStub.jsonResponse(503, "unknown", new JsonObject()));
      assertExitCode(ExitCode.UNKNOWN, run("endpoints", "drain", "e1"));
      stub.on(path, ApiStub.jsonResponse(503, "not_run", new JsonObject()));
      assertExitCode(ExitCode.NOT_RUN, run("endpoints", "drain", "e1"));
      stub.on(path, ApiStub.jsonResponse(200, "unknown", new JsonObject()));
      assertExitCode(ExitCode.UNKNOWN, run("endpoints", "drain", "e1"));
      stub.on(path, ApiStub.jsonResponse(500, "done", new JsonObject()));
      assertExitCode(ExitCode.FAILED, run("endpoints", "drain", "e1"));
      stub.on(path, (request, body) -> request.response().end("<html>"));
      assertExitCode(ExitCode.FAILED, run("endpoints", "drain", "e1"));
    }

    /** Guards against reporting a change as not made when its response was lost. */
    @Test
    void lostResponseIsUnknownForChangesOnly() {
      stub.on("POST /v1/programs/p1/cancel", ApiStub.closedConnection());
      assertExitCode(ExitCode.UNKNOWN, run("programs", "cancel", "p1"));
      stub.on("GET /v1/programs/p1", ApiStub.closedConnection());
      assertExitCode(ExitCode.UNREACHABLE, run("programs", "show", "p1"));
      stub.close();
      assertExitCode(ExitCode.UNREACHABLE, run("programs", "cancel", "p1"));
    }
  }

  @Nested
  final class Listing {

    /** Guards against columns that do not match the fields of the server response. */
    @Test
    void endpointsArePrintedAsATableOrAsJson() {
      JsonObject endpoint = new JsonObject().put("endpoint", "chat-1").put("draining", true);
      JsonObject response = new JsonObject().put("endpoints", new JsonArray().add(endpoint));
      stub.on("GET /admin/v1/endpoints", ApiStub.jsonResponse(200, "done", response));
      List<String> lines = run("endpoints", "list").out().lines().toList();
      assertTrue(lines.get(0).matches("endpoint +pool +kind .*draining"), lines.get(0));
      assertTrue(lines.get(1).matches("chat-1 +- +- .*true"), lines.get(1));
      JsonObject json = new JsonObject(run("endpoints", "list", "--output", "json").out());
      assertEquals("chat-1", json.getJsonArray("endpoints").getJsonObject(0).getString("endpoint"));
    }

    /** Guards against a version line in the YAML when standard output is redirected. */
    @Test
    void showPrintsOnlyYamlToStandardOutput() {
      JsonObject response = new JsonObject().put("version", 7).put("yaml", VALID_BRANCH_YAML);
      stub.on("GET " + BRANCH_PATH, ApiStub.jsonResponse(200, "done", response));
      ToolRun run = run("config", "show", "teams/counter");
      assertEquals(VALID_BRANCH_YAML, run.out());
      assertEquals("version 7\n", run.err());
    }

    /** Guards against printing times as raw milliseconds. */
    @Test
    void historyPrintsVersionsWithTimeAndAuthor() {
      JsonObject version =
          new JsonObject().put("version", 7).put("author", "ana").put("time_ms", 0);
      JsonObject response = new JsonObject().put("versions", new JsonArray().add(version));
      stub.on("GET " + BRANCH_PATH + "/history", ApiStub.jsonResponse(200, "done", response));
      String out = run("config", "history", "teams/counter").out();
      assertTrue(out.contains("7        1970-01-01T00:00:00Z  ana"), out);
    }
  }
}
