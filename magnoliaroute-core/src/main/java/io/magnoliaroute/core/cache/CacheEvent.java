package io.magnoliaroute.core.cache;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.Objects;

/**
 * An engine's notification that it stored or evicted the cached memory of a program. Events may be
 * delayed, reordered, duplicated or lost.
 *
 * @param endpoint the endpoint of the engine
 * @param sequence the sequence number of the event, which increases by one with each event
 * @param program the program that the cached memory belongs to
 * @param kind the kind of change
 */
public record CacheEvent(EndpointId endpoint, long sequence, ProgramId program, Kind kind) {

  /** The kind of change to the cached memory. */
  public enum Kind {
    /** The engine has stored memory of the program. */
    STORED,
    /** The engine has evicted all memory of the program. */
    EVICTED
  }

  /** Rejects null components. */
  public CacheEvent {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(program, "program");
    Objects.requireNonNull(kind, "kind");
  }
}
