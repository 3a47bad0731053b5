package io.magnoliaroute.cli;

import io.magnoliaroute.core.settings.Finding;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Output streams, environment variables and output format of a command.
 *
 * @param out the stream for results
 * @param err the stream for messages
 * @param environment the environment variables
 * @param format the format of results
 */
record Terminal(
    PrintStream out, PrintStream err, Map<String, String> environment, OutputFormat format) {

  boolean isJson() {
    return format == OutputFormat.JSON;
  }

  /** Prints the body on one line in JSON output, otherwise indented. */
  void printJson(JsonObject body) {
    out.println(isJson() ? body.encode() : body.encodePrettily());
  }

  /** Prints findings to the error stream, or in JSON output as one object to the result stream. */
  void printFindings(List<Finding> findings) {
    if (!isJson()) {
      findings.forEach(err::println);
      return;
    }
    JsonArray array = new JsonArray();
    for (Finding finding : findings) {
      array.add(
          new JsonObject()
              .put("file", finding.file())
              .put("line", finding.line())
              .put("path", finding.path())
              .put("message", finding.message())
              .put("severity", finding.severity().wireName()));
    }
    out.println(new JsonObject().put("findings", array).encode());
  }

  /** Prints the rows as a table; the column names are the headings and the keys of the values. */
  void printTable(List<String> columns, JsonArray rows) {
    List<List<String>> lines = new ArrayList<>();
    lines.add(columns);
    for (int i = 0; i < rows.size(); i++) {
      JsonObject row = rows.getJsonObject(i);
      List<String> line = new ArrayList<>();
      columns.forEach(column -> line.add(formatCell(row.getValue(column))));
      lines.add(line);
    }
    for (List<String> line : lines) {
      StringBuilder text = new StringBuilder();
      for (int column = 0; column < columns.size(); column++) {
        text.append(padRight(line.get(column), columnWidth(lines, column)));
      }
      out.println(text.toString().stripTrailing());
    }
  }

  private static String formatCell(Object value) {
    return value == null ? "-" : value.toString();
  }

  private static int columnWidth(List<List<String>> lines, int column) {
    return lines.stream().mapToInt(line -> line.get(column).length()).max().orElse(0) + 2;
  }

  private static String padRight(String text, int width) {
    return text + " ".repeat(width - text.length());
  }
}
