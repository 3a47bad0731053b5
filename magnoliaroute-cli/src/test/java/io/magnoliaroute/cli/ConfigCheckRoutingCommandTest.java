package io.magnoliaroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a check that passes a wrong configuration, or that prints keys. */
@DisplayName("The command config check-routing")
class ConfigCheckRoutingCommandTest {

  private static final String ROUTE =
      "{\"name\":\"%s\",\"host\":\"h\",\"path_prefix\":\"/a/\",\"service\":\"s\"}";
  private static final String SERVICES = "\"services\":[{\"name\":\"s\"}]";

  @TempDir private Path folder;

  private String write(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text).toString();
  }

  private static ToolRun check(String... arguments) {
    String[] all = new String[arguments.length + 2];
    all[0] = "config";
    all[1] = "check-routing";
    System.arraycopy(arguments, 0, all, 2, arguments.length);
    return ToolRun.execute(Map.of(), all);
  }

  @Test
  @DisplayName("accepts a sound configuration")
  void sound() throws IOException {
    String file =
        write("f", "{\"version\":2,\"routes\":[" + ROUTE.formatted("r") + "]," + SERVICES + "}");
    ToolRun run = check(file);
    assertEquals(ExitCode.OK, run.exitCode(), run.err());
    assertEquals("ok", run.out().strip());
  }

  @Test
  @DisplayName("reports errors and entries that can never match")
  void findings() throws IOException {
    ToolRun malformed = check(write("f", "{\"version\":\"two\"}"));
    assertEquals(ExitCode.FINDINGS, malformed.exitCode());
    assertTrue(malformed.err().contains("config.version must be a whole number"), malformed.err());

    String twice = ROUTE.formatted("first") + "," + ROUTE.formatted("second");
    ToolRun shadowed =
        check(write("g", "{\"version\":2,\"routes\":[" + twice + "]," + SERVICES + "}"));
    assertEquals(ExitCode.FINDINGS, shadowed.exitCode());
    assertTrue(shadowed.err().contains("route 'first' has the same host"), shadowed.err());
  }

  @Test
  @DisplayName("lists what differs from the configuration in force, without keys")
  void changes() throws IOException {
    String workspace = ",\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"a-secret-key\"]}]";
    String routes = "\"routes\":[" + ROUTE.formatted("r") + "]," + SERVICES;
    String inForce = write("in-force", "{\"version\":2," + routes + "}");
    String next = write("next", "{\"version\":3," + routes + workspace + "}");

    ToolRun run = check(next, "--in-force", inForce);

    assertEquals(ExitCode.OK, run.exitCode(), run.err());
    assertTrue(run.out().contains("changed: workspaces/w"), run.out());
    assertFalse(run.out().contains("a-secret-key"), run.out());
    ToolRun older = check(inForce, "--in-force", next);
    assertEquals(ExitCode.FINDINGS, older.exitCode());
    assertTrue(older.err().contains("version 2 is not newer than 3"), older.err());
  }
}
