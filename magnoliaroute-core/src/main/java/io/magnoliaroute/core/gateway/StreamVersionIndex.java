package io.magnoliaroute.core.gateway;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The versions that began recent streams, by the id of the request that delivered the first event.
 * Not thread-safe; confined to one event loop.
 */
public final class StreamVersionIndex {

  /** Maximum number of streams; the streams of a large fleet within the lifetime of a stream. */
  private static final int MAX_STREAMS = 65_536;

  private final Map<String, BegunStream> streams = new LinkedHashMap<>();

  /**
   * A stream that has begun.
   *
   * @param requestId the id of the request that delivered the first event
   * @param version the service and the version of the endpoint that began the stream
   * @param atMs when this VM learned of it
   */
  public record BegunStream(String requestId, ServiceVersion version, long atMs) {}

  /**
   * Adds a stream. Two streams of different versions with the same id are ambiguous, and neither is
   * found.
   */
  public void add(String requestId, ServiceVersion version, long nowMs) {
    removeExpired(nowMs);
    BegunStream known = streams.get(requestId);
    if (known == null) {
      streams.put(requestId, new BegunStream(requestId, version, nowMs));
    } else if (!version.equals(known.version())) {
      streams.put(requestId, new BegunStream(requestId, null, known.atMs()));
    }
  }

  /** Returns the version of the service that began the stream, if it is known and unambiguous. */
  public Optional<String> find(String requestId, String service) {
    return Optional.ofNullable(streams.get(requestId))
        .map(BegunStream::version)
        .filter(version -> version.service().equals(service))
        .map(ServiceVersion::softwareVersion);
  }

  /** Returns whether the request is known to have begun a stream. */
  public boolean contains(String requestId) {
    return streams.containsKey(requestId);
  }

  /** Returns the streams of the service that began after the given time. */
  public List<BegunStream> begunSince(String service, long sinceMs) {
    List<BegunStream> begun = new ArrayList<>();
    for (BegunStream stream : streams.values()) {
      if (stream.atMs() >= sinceMs
          && stream.version() != null
          && stream.version().service().equals(service)) {
        begun.add(stream);
      }
    }
    return begun;
  }

  private void removeExpired(long nowMs) {
    Iterator<BegunStream> oldestFirst = streams.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean isExpired = nowMs - oldestFirst.next().atMs() >= ServiceVersions.STREAM_LIFETIME_MS;
      if (!isExpired && streams.size() < MAX_STREAMS) {
        return;
      }
      oldestFirst.remove();
    }
  }
}
