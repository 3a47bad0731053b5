package io.magnoliaroute.core.log;

import java.util.List;

/**
 * The result of one read.
 *
 * @param entries the records, in offset order
 * @param nextOffset the offset to read from next
 * @param firstRetainedOffset the oldest offset that the log retains
 */
public record LogPage(List<LogEntry> entries, long nextOffset, long firstRetainedOffset) {

  /** Copies the entries. */
  public LogPage {
    entries = List.copyOf(entries);
  }
}
