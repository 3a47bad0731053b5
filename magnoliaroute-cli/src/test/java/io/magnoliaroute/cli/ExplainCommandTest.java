package io.magnoliaroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against omitting a line of the request or printing a line of another request. */
@DisplayName("The explain command")
class ExplainCommandTest {

  private static final String FIRST_LOG =
      """
      a warning of the runtime
      {"at_ms":900,"vm":"vm-1","event":"endpoint_lost","endpoint":"e1"}
      {"at_ms":1000,"vm":"vm-1","event":"request_sent","request":"r1","endpoint":"e2"}
      {"at_ms":1010,"vm":"vm-1","event":"request_sent","request":"r2","endpoint":"e2"}
      {"at_ms":1500,"vm":"vm-1","event":"request_ended","request":"r1","program":"p","took_ms":500}
      {"at_ms":1600,"vm":"vm-1","event":"config_applied","version":9}
      """;
  private static final String SECOND_LOG =
      """
      {"at_ms":1200,"vm":"vm-2","event":"turn_not_granted","program":"p"}
      {"at_ms":1300,"vm":"vm-2","event":"endpoint_lost","endpoint":"e9"}
      {"broken
      """;

  @TempDir Path directory;

  private ToolRun explain(String... arguments) throws IOException {
    Path first = Files.writeString(directory.resolve("vm-1.log"), FIRST_LOG);
    Path second = Files.writeString(directory.resolve("vm-2.log"), SECOND_LOG);
    List<String> args = new java.util.ArrayList<>(List.of("explain"));
    args.addAll(List.of(arguments));
    args.add(first.toString());
    args.add(second.toString());
    return ToolRun.execute(Map.of(), args.toArray(String[]::new));
  }

  @Test
  @DisplayName(
      "prints the lines of the request, its program and its VM's state changes in time order")
  void printsRelatedLinesInTimeOrder() throws IOException {
    ToolRun run = explain("--output", "json", "r1");

    assertEquals(ExitCode.OK, run.exitCode(), run.err());
    List<Object> times =
        new JsonObject(run.out())
            .getJsonArray("lines").stream()
                .map(line -> (Object) ((JsonObject) line).getInteger("at_ms"))
                .toList();
    assertEquals(List.of(900, 1_000, 1_200, 1_500), times);
  }

  @Test
  @DisplayName("prints times relative to the first line in text output")
  void printsRelativeTimesAsText() throws IOException {
    String out = explain("r1").out();

    assertTrue(out.contains("     600 ms  vm-1  request_ended"), out);
    assertFalse(out.contains("r2"), out);
  }

  @Test
  @DisplayName("fails if no line contains the request id")
  void failsForUnknownRequest() throws IOException {
    ToolRun run = explain("r7");

    assertEquals(ExitCode.FAILED, run.exitCode());
    assertTrue(run.err().contains("no line names the request r7"), run.err());
  }
}
