package io.magnoliaroute.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;

/** Prints what happens to a program while it runs; events arrive on the client's thread. */
final class RunProgress {

  private final Terminal terminal;

  RunProgress(Terminal terminal) {
    this.terminal = terminal;
  }

  /** Prints one event with its fields. */
  void event(String name, JsonObject fields) {
    if (terminal.json()) {
      terminal.out().println(new JsonObject().put("event", name).mergeIn(fields).encode());
      return;
    }
    StringBuilder line = new StringBuilder(name);
    for (String field : fields.fieldNames()) {
      line.append(' ').append(field).append('=').append(fields.getValue(field));
    }
    terminal.out().println(line);
  }

  /** Prints the text of a streamed event and returns it; JSON output prints the event instead. */
  String tokens(JsonObject event) {
    String text = textOf(event);
    if (text.isEmpty()) {
      return text;
    }
    PrintStream out = terminal.out();
    if (terminal.json()) {
      out.println(new JsonObject().put("event", "tokens").put("text", text).encode());
    } else {
      out.print(text);
      out.flush();
    }
    return text;
  }

  /** Ends the line of the streamed text. */
  void endOfText() {
    if (!terminal.json()) {
      terminal.out().println();
    }
  }

  private static String textOf(JsonObject event) {
    JsonArray choices = event.getJsonArray("choices", new JsonArray());
    if (choices.isEmpty()) {
      return "";
    }
    JsonObject delta = choices.getJsonObject(0).getJsonObject("delta", new JsonObject());
    return delta.getString("content") == null ? "" : delta.getString("content");
  }
}
