package io.magnoliaroute.core.gateway.history;

import io.magnoliaroute.core.model.Bytes;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The output of a turn as far as it was forwarded to the client. Not thread-safe. */
public final class TurnOutput {

  private static final String ID_FIELD = "id:";

  private final List<Event> events;
  private int sizeBytes;

  private record Event(Optional<String> id, Bytes data) {}

  /** Creates an empty output. */
  public TurnOutput() {
    this(List.of());
  }

  private TurnOutput(List<Event> events) {
    this.events = new ArrayList<>(events);
    events.forEach(event -> sizeBytes += event.data().sizeBytes());
  }

  /**
   * Adds events that were forwarded.
   *
   * @param forwarded complete events, each of which ends with an empty line
   */
  public void add(byte[] forwarded) {
    int start = 0;
    int lineStart = 0;
    Optional<String> id = Optional.empty();
    for (int i = 0; i < forwarded.length; i++) {
      if (forwarded[i] != '\n') {
        continue;
      }
      String line =
          new String(forwarded, lineStart, i - lineStart, StandardCharsets.UTF_8).stripTrailing();
      if (line.startsWith(ID_FIELD)) {
        id = Optional.of(line.substring(ID_FIELD.length()).strip());
      }
      lineStart = i + 1;
      if (line.isEmpty()) {
        byte[] event = Arrays.copyOfRange(forwarded, start, lineStart);
        addEvent(new Event(id, Bytes.copyOf(EventDataCollector.dataOf(event))));
        id = Optional.empty();
        start = lineStart;
      }
    }
  }

  private void addEvent(Event event) {
    events.add(event);
    sizeBytes += event.data().sizeBytes();
  }

  /** Returns the data of each event, each followed by a line feed. */
  public byte[] toByteArray() {
    ByteArrayOutputStream all = new ByteArrayOutputStream(sizeBytes);
    events.forEach(event -> all.writeBytes(event.data().toArray()));
    return all.toByteArray();
  }

  /** Returns the number of bytes. */
  public int sizeBytes() {
    return sizeBytes;
  }

  /** Returns the output up to the event of an id; empty if that event was not forwarded. */
  public Optional<TurnOutput> upTo(String id) {
    for (int i = 0; i < events.size(); i++) {
      if (events.get(i).id().equals(Optional.of(id))) {
        return Optional.of(new TurnOutput(events.subList(0, i + 1)));
      }
    }
    return Optional.empty();
  }
}
