package io.magnoliaroute.core.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The sequences of one writer that a reader has applied, as ranges.
 *
 * <p>A writer uses its sequences in order, so that the ranges join into one that grows at its end.
 * Only records that were given up leave a gap. Past {@link #MAX_RANGES} ranges the lowest gap is
 * closed: a record of that gap that lands later counts as applied and has no effect. That is safe,
 * because closing depends only on the order, so that all readers agree, and because the writer
 * reads the verdict of its record back before it relies on it.
 */
public final class SeenSequences {

  /** The most ranges that are kept. */
  public static final int MAX_RANGES = 64;

  private final TreeMap<Long, Long> lastByFirst = new TreeMap<>();

  /** Adds a sequence and returns whether it was new. */
  public boolean add(long sequence) {
    if (contains(sequence)) {
      return false;
    }
    long first = sequence;
    long last = sequence;
    Map.Entry<Long, Long> below = lastByFirst.lowerEntry(sequence);
    if (below != null && below.getValue() == sequence - 1) {
      first = below.getKey();
    }
    Long lastOfNext = lastByFirst.remove(sequence + 1);
    if (lastOfNext != null) {
      last = lastOfNext;
    }
    lastByFirst.put(first, last);
    closeLowestGap();
    return true;
  }

  /** Returns whether the sequence was added or lies in a gap that was closed. */
  public boolean contains(long sequence) {
    Map.Entry<Long, Long> range = lastByFirst.floorEntry(sequence);
    return range != null && sequence <= range.getValue();
  }

  /** Returns the ranges in order: first, last, first, last and so on. */
  public List<Long> ranges() {
    List<Long> ranges = new ArrayList<>();
    lastByFirst.forEach(
        (first, last) -> {
          ranges.add(first);
          ranges.add(last);
        });
    return ranges;
  }

  /** Returns sequences with the given ranges, in the form of {@link #ranges}. */
  public static SeenSequences ofRanges(List<Long> ranges) {
    if (ranges.size() % 2 != 0) {
      throw new IllegalArgumentException("ranges must be pairs, were " + ranges.size());
    }
    SeenSequences seen = new SeenSequences();
    for (int i = 0; i < ranges.size(); i += 2) {
      seen.lastByFirst.put(ranges.get(i), ranges.get(i + 1));
    }
    return seen;
  }

  private void closeLowestGap() {
    if (lastByFirst.size() <= MAX_RANGES) {
      return;
    }
    Map.Entry<Long, Long> lowest = lastByFirst.pollFirstEntry();
    Map.Entry<Long, Long> next = lastByFirst.pollFirstEntry();
    lastByFirst.put(lowest.getKey(), next.getValue());
  }
}
