package io.magnoliaroute.core.gateway.history;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Extracts the data of the events of a stream. The data of an event are the values of its data
 * lines, joined by line feeds; an event without data lines has no data.
 */
public final class EventDataCollector {

  private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

  private EventDataCollector() {}

  /**
   * Returns the data of each event, each followed by a line feed.
   *
   * @param events complete events, each of which ends with an empty line
   */
  public static byte[] dataOf(byte[] events) {
    ByteArrayOutputStream data = new ByteArrayOutputStream(events.length);
    boolean eventHasData = false;
    int start = 0;
    while (start < events.length) {
      int feed = indexOfLineFeed(events, start);
      int end = feed > start && events[feed - 1] == '\r' ? feed - 1 : feed;
      if (end == start) {
        if (eventHasData) {
          data.write('\n');
        }
        eventHasData = false;
      } else if (isDataLine(events, start, end)) {
        if (eventHasData) {
          data.write('\n');
        }
        eventHasData = true;
        int value = valueStart(events, start, end);
        data.write(events, value, end - value);
      }
      start = feed + 1;
    }
    return data.toByteArray();
  }

  private static int indexOfLineFeed(byte[] events, int from) {
    int at = from;
    while (at < events.length && events[at] != '\n') {
      at++;
    }
    return at;
  }

  private static boolean isDataLine(byte[] events, int start, int end) {
    int nameEnd = start + DATA_FIELD.length;
    if (end < nameEnd || (end > nameEnd && events[nameEnd] != ':')) {
      return false;
    }
    for (int i = 0; i < DATA_FIELD.length; i++) {
      if (events[start + i] != DATA_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  // A single space after the colon is not part of the value.
  private static int valueStart(byte[] events, int start, int end) {
    int value = Math.min(end, start + DATA_FIELD.length + 1);
    return value < end && events[value] == ' ' ? value + 1 : value;
  }
}
