package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;

/**
 * A tombstone: one start of an endpoint accepts no more requests.
 *
 * @param id the id of the endpoint
 * @param startedAtMs Unix time of the start that the tombstone applies to
 * @param sequence sequence number of the last entry that is invalid; {@link #ALL_ENTRIES} if the
 *     endpoint itself reported that it is shutting down
 */
public record EndpointTombstone(EndpointId id, long startedAtMs, long sequence) {

  /** Sequence number that invalidates all entries of the start. */
  public static final long ALL_ENTRIES = Long.MAX_VALUE;

  /** Returns whether this tombstone invalidates the entry. */
  public boolean invalidates(EndpointEntry entry) {
    return entry.id().equals(id)
        && (entry.startedAtMs() < startedAtMs
            || (entry.startedAtMs() == startedAtMs && entry.sequence() <= sequence));
  }

  /** Returns whether this tombstone invalidates more entries than the other one. */
  boolean supersedes(EndpointTombstone other) {
    return startedAtMs != other.startedAtMs
        ? startedAtMs > other.startedAtMs
        : sequence > other.sequence;
  }
}
