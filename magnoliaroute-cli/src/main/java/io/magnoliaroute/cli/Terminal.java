package io.magnoliaroute.cli;

import io.magnoliaroute.core.settings.Finding;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Where a command prints and what it reads from its environment.
 *
 * @param out results
 * @param err messages
 * @param environment the environment variables
 * @param format how results are printed
 */
record Terminal(
    PrintStream out, PrintStream err, Map<String, String> environment, OutputFormat format) {

  boolean json() {
    return format == OutputFormat.JSON;
  }

  void printJson(JsonObject body) {
    out.println(json() ? body.encode() : body.encodePrettily());
  }

  void printFindings(List<Finding> findings) {
    if (!json()) {
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

  /** Prints the rows as a table with the columns as headings. */
  void printTable(List<String> columns, JsonArray rows) {
    List<List<String>> lines = new ArrayList<>();
    lines.add(columns);
    for (int i = 0; i < rows.size(); i++) {
      JsonObject row = rows.getJsonObject(i);
      List<String> line = new ArrayList<>();
      columns.forEach(column -> line.add(cell(row.getValue(column))));
      lines.add(line);
    }
    for (List<String> line : lines) {
      StringBuilder text = new StringBuilder();
      for (int column = 0; column < columns.size(); column++) {
        text.append(padded(line.get(column), width(lines, column)));
      }
      out.println(text.toString().stripTrailing());
    }
  }

  private static String cell(Object value) {
    return value == null ? "-" : value.toString();
  }

  private static int width(List<List<String>> lines, int column) {
    return lines.stream().mapToInt(line -> line.get(column).length()).max().orElse(0) + 2;
  }

  private static String padded(String text, int width) {
    return text + " ".repeat(width - text.length());
  }
}
