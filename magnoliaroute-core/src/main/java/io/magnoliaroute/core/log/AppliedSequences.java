package io.magnoliaroute.core.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The sequences of one writer that a reader has applied, as ranges.
 *
 * <p>A writer uses its sequences in order, so the ranges normally merge into one; only abandoned
 * records leave gaps. When there are more than {@link #MAX_RANGES} ranges, the lowest gap is
 * closed: a record from that gap that is appended later is treated as already applied and has no
 * effect. This is safe because closing depends only on the log order, so all readers close the same
 * gaps, and because the writer waits for the verdict on its record to be read back before it relies
 * on it.
 */
public final class AppliedSequences {

  /** The maximum number of ranges. */
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

  /** Returns whether the sequence was added or is in a closed gap. */
  public boolean contains(long sequence) {
    Map.Entry<Long, Long> range = lastByFirst.floorEntry(sequence);
    return range != null && sequence <= range.getValue();
  }

  /** Returns the bounds of the ranges in ascending order, alternating first and last. */
  public List<Long> ranges() {
    List<Long> ranges = new ArrayList<>();
    lastByFirst.forEach(
        (first, last) -> {
          ranges.add(first);
          ranges.add(last);
        });
    return ranges;
  }

  /** Creates an instance from bounds in the format of {@link #ranges}. */
  public static AppliedSequences ofRanges(List<Long> ranges) {
    if (ranges.size() % 2 != 0) {
      throw new IllegalArgumentException(
          "ranges must contain an even number of bounds, had " + ranges.size());
    }
    AppliedSequences applied = new AppliedSequences();
    for (int i = 0; i < ranges.size(); i += 2) {
      applied.lastByFirst.put(ranges.get(i), ranges.get(i + 1));
    }
    return applied;
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
