package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The request limits that this VM knows, and until when the permits of each are used up. Not
 * thread-safe; confined to one event loop.
 */
public final class RequestLimits {

  /** Maximum number of limits; several times the number of endpoints of a large fleet. */
  private static final int MAX_LIMITS = 65_536;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<EndpointId, KnownLimit> limits =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, KnownLimit> eldest) {
          return size() > MAX_LIMITS;
        }
      };

  private static final class KnownLimit {
    private final RequestLimit limit;
    private final long sinceMs;
    private long exhaustedUntilMs = NEVER;

    private KnownLimit(RequestLimit limit, long sinceMs) {
      this.limit = limit;
      this.sinceMs = sinceMs;
    }
  }

  /**
   * Applies a limit; returns whether it differs from the known one. The limit of an earlier start
   * of the endpoint is ignored.
   */
  public boolean apply(RequestLimit limit, long nowMs) {
    KnownLimit known = limits.get(limit.endpoint());
    if (known != null && known.limit.startedAtMs() > limit.startedAtMs()) {
      return false;
    }
    if (known != null && known.limit.equals(limit)) {
      return false;
    }
    boolean sameStart = known != null && known.limit.startedAtMs() == limit.startedAtMs();
    KnownLimit updated = new KnownLimit(limit, sameStart ? known.sinceMs : nowMs);
    updated.exhaustedUntilMs = sameStart ? known.exhaustedUntilMs : NEVER;
    limits.put(limit.endpoint(), updated);
    return true;
  }

  /** Ends the limit of this start of the endpoint; returns whether there was one. */
  public boolean end(EndpointId endpoint, long startedAtMs) {
    KnownLimit known = limits.get(endpoint);
    if (known == null || known.limit.startedAtMs() != startedAtMs) {
      return false;
    }
    limits.remove(endpoint);
    return true;
  }

  /**
   * Ends the limit because a response does not report it; returns whether there was one. A response
   * to a request from before the limit was known does not end it.
   */
  public boolean endByResponse(EndpointEntry entry, long requestSentAtMs) {
    KnownLimit known = limits.get(entry.id());
    return known != null && requestSentAtMs > known.sinceMs && end(entry.id(), entry.startedAtMs());
  }

  /** Returns the limit of the start of the endpoint that wrote the entry. */
  public Optional<RequestLimit> find(EndpointEntry entry) {
    KnownLimit known = limits.get(entry.id());
    return known != null && known.limit.appliesTo(entry)
        ? Optional.of(known.limit)
        : Optional.empty();
  }

  /** Returns the limit of the newest start of the endpoint. */
  public Optional<RequestLimit> find(EndpointId endpoint) {
    return Optional.ofNullable(limits.get(endpoint)).map(known -> known.limit);
  }

  /** Returns all known limits. */
  public List<RequestLimit> all() {
    List<RequestLimit> all = new ArrayList<>();
    limits.values().forEach(known -> all.add(known.limit));
    return all;
  }

  /** Records until when no permit is available for the endpoint. */
  public void markExhausted(EndpointEntry entry, long untilMs) {
    KnownLimit known = limits.get(entry.id());
    if (known != null) {
      known.exhaustedUntilMs = untilMs;
    }
  }

  /** Returns until when no permit is available for the endpoint; a time in the past if one may. */
  public long exhaustedUntilMs(EndpointEntry entry) {
    return find(entry).isPresent() ? limits.get(entry.id()).exhaustedUntilMs : NEVER;
  }
}
