package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which endpoint has lately read which part of a prompt through this VM. The parts used last are
 * kept. Used on one event loop.
 */
public final class PrefixMemory {

  private static final float LOAD_FACTOR = 0.75f;

  private final Map<String, Map<EndpointId, Long>> readAt;

  /**
   * Makes an empty memory.
   *
   * @param maxParts parts that are kept
   */
  public PrefixMemory(int maxParts) {
    this.readAt =
        new LinkedHashMap<>(16, LOAD_FACTOR, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Map<EndpointId, Long>> eldest) {
            return size() > maxParts;
          }
        };
  }

  /** Notes that the endpoint, in one of its starts, has read the parts. */
  public void read(List<CallSpec.PromptPart> parts, EndpointEntry endpoint) {
    for (CallSpec.PromptPart part : parts) {
      readAt
          .computeIfAbsent(part.id(), id -> new LinkedHashMap<>())
          .put(endpoint.id(), endpoint.startedAtMs());
    }
  }

  /** Returns how many tokens of the prompt the endpoint probably has to read. */
  public long missingTokens(List<CallSpec.PromptPart> parts, EndpointEntry endpoint) {
    long missing = 0;
    boolean kept = true;
    for (CallSpec.PromptPart part : parts) {
      Long start = readAt.getOrDefault(part.id(), Map.of()).get(endpoint.id());
      kept = kept && start != null && start == endpoint.startedAtMs();
      missing += kept ? 0 : part.tokens();
    }
    return missing;
  }
}
