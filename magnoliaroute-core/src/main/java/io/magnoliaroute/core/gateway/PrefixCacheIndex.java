package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which endpoints have recently processed which prompt segments for this VM. Evicts the
 * least recently used segments. Not thread-safe; confined to one event loop.
 */
public final class PrefixCacheIndex {

  private static final float LOAD_FACTOR = 0.75f;

  private final Map<String, Map<EndpointId, Long>> endpointsBySegment;

  /**
   * Creates an empty index.
   *
   * @param maxSegments maximum number of segments to keep
   */
  public PrefixCacheIndex(int maxSegments) {
    this.endpointsBySegment =
        new LinkedHashMap<>(16, LOAD_FACTOR, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Map<EndpointId, Long>> eldest) {
            return size() > maxSegments;
          }
        };
  }

  /** Records that this start of the endpoint has processed the segments. */
  public void recordProcessed(
      List<RequestMetadata.PromptSegment> segments, EndpointEntry endpoint) {
    for (RequestMetadata.PromptSegment segment : segments) {
      endpointsBySegment
          .computeIfAbsent(segment.id(), id -> new LinkedHashMap<>())
          .put(endpoint.id(), endpoint.startedAtMs());
    }
  }

  /** Returns the estimated number of prompt tokens that the endpoint has not cached. */
  public long uncachedTokens(List<RequestMetadata.PromptSegment> segments, EndpointEntry endpoint) {
    long uncached = 0;
    boolean prefixCached = true;
    for (RequestMetadata.PromptSegment segment : segments) {
      Long startedAtMs = endpointsBySegment.getOrDefault(segment.id(), Map.of()).get(endpoint.id());
      prefixCached = prefixCached && startedAtMs != null && startedAtMs == endpoint.startedAtMs();
      uncached += prefixCached ? 0 : segment.tokens();
    }
    return uncached;
  }
}
