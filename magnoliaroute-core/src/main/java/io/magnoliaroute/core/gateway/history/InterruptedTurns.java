package io.magnoliaroute.core.gateway.history;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The outputs of turns whose responses were interrupted, so that a client that resumes its stream
 * here gets a turn with the whole output. Not thread-safe.
 */
public final class InterruptedTurns {

  /** Limit of the outputs; several hundred turns of usual length. */
  private static final int MAX_BYTES = 1_048_576;

  /** Memory of an entry besides its data. */
  private static final int OVERHEAD_BYTES = 500;

  private final Map<String, TurnOutput> outputs = new LinkedHashMap<>();
  private int usedBytes;

  /** Keeps the output of an interrupted turn, and drops the oldest ones beyond the limit. */
  public void put(String key, TurnOutput output) {
    remove(key);
    outputs.put(key, output);
    usedBytes += output.sizeBytes() + OVERHEAD_BYTES;
    Iterator<TurnOutput> oldest = outputs.values().iterator();
    while (usedBytes > MAX_BYTES) {
      usedBytes -= oldest.next().sizeBytes() + OVERHEAD_BYTES;
      oldest.remove();
    }
  }

  private void remove(String key) {
    TurnOutput removed = outputs.remove(key);
    usedBytes -= removed == null ? 0 : removed.sizeBytes() + OVERHEAD_BYTES;
  }

  /** Returns the output of a turn up to the event after which its client resumes it. */
  public Optional<TurnOutput> find(String key, String lastEventId) {
    return Optional.ofNullable(outputs.get(key)).flatMap(output -> output.upTo(lastEventId));
  }
}
