package io.magnoliaroute.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;

/** Prints the progress of a running program; streamed events arrive on the event loop thread. */
final class ProgressPrinter {

  private final Terminal terminal;

  ProgressPrinter(Terminal terminal) {
    this.terminal = terminal;
  }

  /** Prints one event and its fields, as one line of text or as one JSON object. */
  void printEvent(String name, JsonObject fields) {
    if (terminal.isJson()) {
      terminal.out().println(new JsonObject().put("event", name).mergeIn(fields).encode());
      return;
    }
    StringBuilder line = new StringBuilder(name);
    for (String field : fields.fieldNames()) {
      line.append(' ').append(field).append('=').append(fields.getValue(field));
    }
    terminal.out().println(line);
  }

  /**
   * Prints the text of a streamed event, in JSON output as a {@code tokens} event, and returns it.
   */
  String printTokens(JsonObject event) {
    String text = extractText(event);
    if (text.isEmpty()) {
      return text;
    }
    PrintStream out = terminal.out();
    if (terminal.isJson()) {
      out.println(new JsonObject().put("event", "tokens").put("text", text).encode());
    } else {
      out.print(text);
      out.flush();
    }
    return text;
  }

  /** Prints a line break after streamed text; JSON output needs none. */
  void endTextLine() {
    if (!terminal.isJson()) {
      terminal.out().println();
    }
  }

  private static String extractText(JsonObject event) {
    JsonArray choices = event.getJsonArray("choices", new JsonArray());
    if (choices.isEmpty()) {
      return "";
    }
    JsonObject delta = choices.getJsonObject(0).getJsonObject("delta", new JsonObject());
    return delta.getString("content") == null ? "" : delta.getString("content");
  }
}
