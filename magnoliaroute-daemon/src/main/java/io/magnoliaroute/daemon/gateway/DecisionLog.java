package io.magnoliaroute.daemon.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Logs each decision as one line with a JSON object. The rate of lines is limited per event; the
 * number of dropped lines is logged with the next line of the same event. The queue of the logging
 * library drops lines instead of blocking. Confined to one event loop.
 */
final class DecisionLog {

  private static final Logger LOG = Logger.getLogger("decisions");
  private static final JsonFactory JSON = new JsonFactory();

  /** Limit of lines of one event per second; several times the request rate of a VM at present. */
  static final int MAX_LINES_PER_SECOND = 100;

  private static final long WINDOW_MS = 1_000;

  /**
   * Number of lines that are handed to the logging library as one batch, which wakes up its writer
   * once instead of once per line.
   */
  private static final int MAX_BATCH_LINES = 64;

  private final String vm;
  private final InstantSource clock;
  private final Map<String, Window> windows = new HashMap<>();
  private final List<String> batch = new ArrayList<>();

  private static final class Window {
    private long startMs;
    private int loggedLines;
    private int droppedLines;
  }

  DecisionLog(String vm, InstantSource clock) {
    this.vm = vm;
    this.clock = clock;
  }

  /** Starts a line for the given event. */
  Line line(String event) {
    Window window = windows.computeIfAbsent(event, name -> new Window());
    long nowMs = clock.millis();
    if (nowMs - window.startMs >= WINDOW_MS) {
      window.startMs = nowMs;
      window.loggedLines = 0;
    }
    if (window.loggedLines >= MAX_LINES_PER_SECOND) {
      window.droppedLines++;
      return new Line(null, null, null);
    }
    window.loggedLines++;
    Line line = Line.begin(nowMs, vm, event, this::addToBatch);
    if (window.droppedLines > 0) {
      line.put("left_out_before", window.droppedLines);
      window.droppedLines = 0;
    }
    return line;
  }

  private void addToBatch(String line) {
    batch.add(line);
    if (batch.size() >= MAX_BATCH_LINES) {
      flush();
    }
  }

  /** Hands the batched lines to the logging library. */
  void flush() {
    if (!batch.isEmpty()) {
      LOG.info(String.join("\n", batch));
      batch.clear();
    }
  }

  /** A line under construction. A line that exceeds the rate limit ignores its fields. */
  static final class Line {

    private final StringWriter text;
    private final JsonGenerator json;
    private final Consumer<String> sink;

    private Line(StringWriter text, JsonGenerator json, Consumer<String> sink) {
      this.text = text;
      this.json = json;
      this.sink = sink;
    }

    private static Line begin(long nowMs, String vm, String event, Consumer<String> sink) {
      StringWriter text = new StringWriter();
      try {
        JsonGenerator json = JSON.createGenerator(text);
        json.writeStartObject();
        json.writeNumberField("at_ms", nowMs);
        json.writeStringField("vm", vm);
        json.writeStringField("event", event);
        return new Line(text, json, sink);
      } catch (IOException e) {
        throw new UncheckedIOException("cannot write JSON to a string", e);
      }
    }

    Line put(String name, String value) {
      return append(() -> json.writeStringField(name, value));
    }

    Line put(String name, long value) {
      return append(() -> json.writeNumberField(name, value));
    }

    Line put(String name, boolean value) {
      return append(() -> json.writeBooleanField(name, value));
    }

    void write() {
      append(
          () -> {
            json.writeEndObject();
            json.close();
            sink.accept(text.toString());
          });
    }

    private interface WriteAction {
      void run() throws IOException;
    }

    private Line append(WriteAction action) {
      if (json == null) {
        return this;
      }
      try {
        action.run();
        return this;
      } catch (IOException e) {
        throw new UncheckedIOException("cannot write JSON to a string", e);
      }
    }
  }
}
