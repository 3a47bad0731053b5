package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.ProgramId;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Simulates the prefix cache of one engine, with least recently used eviction by program. */
final class SimulatedPrefixCache {

  private final long capacityTokens;
  private final Map<ProgramId, Integer> tokensByProgram = new LinkedHashMap<>(16, 0.75f, true);
  private long usedTokens;

  SimulatedPrefixCache(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  int cachedTokens(ProgramId program, int promptTokens) {
    return Math.min(promptTokens, tokensByProgram.getOrDefault(program, 0));
  }

  void store(ProgramId program, int tokens) {
    Integer previous = tokensByProgram.put(program, tokens);
    usedTokens += tokens - (previous == null ? 0 : previous);
    Iterator<Integer> oldest = tokensByProgram.values().iterator();
    while (usedTokens > capacityTokens && oldest.hasNext()) {
      usedTokens -= oldest.next();
      oldest.remove();
    }
  }
}
