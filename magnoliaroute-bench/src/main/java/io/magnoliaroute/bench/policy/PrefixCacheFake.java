package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.ProgramId;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The prefix cache of one engine: limited memory, least recently used programs leave first. */
final class PrefixCacheFake {

  private final long capacityTokens;
  private final Map<ProgramId, Integer> tokensOf = new LinkedHashMap<>(16, 0.75f, true);
  private long usedTokens;

  PrefixCacheFake(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  int lookUp(ProgramId program, int promptTokens) {
    return Math.min(promptTokens, tokensOf.getOrDefault(program, 0));
  }

  void store(ProgramId program, int tokens) {
    Integer before = tokensOf.put(program, tokens);
    usedTokens += tokens - (before == null ? 0 : before);
    Iterator<Integer> oldest = tokensOf.values().iterator();
    while (usedTokens > capacityTokens && oldest.hasNext()) {
      usedTokens -= oldest.next();
      oldest.remove();
    }
  }
}
