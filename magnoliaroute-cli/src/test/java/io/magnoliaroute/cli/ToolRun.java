package io.magnoliaroute.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Exit code and captured output of one run of the command-line tool. */
record ToolRun(ExitCode exitCode, String out, String err) {

  static ToolRun execute(Map<String, String> environment, String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    ExitCode exitCode =
        CommandLineTool.run(
            args,
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            environment);
    return new ToolRun(
        exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }
}
