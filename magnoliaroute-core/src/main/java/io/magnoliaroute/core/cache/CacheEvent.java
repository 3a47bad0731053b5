package io.magnoliaroute.core.cache;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.Objects;

/**
 * An engine's report that it stored or evicted the memory of a program. Reports come late, out of
 * order, more than once, or not at all.
 *
 * @param endpoint the engine
 * @param sequence grows by one with each event of the engine
 * @param program the program
 * @param kind what happened
 */
public record CacheEvent(EndpointId endpoint, long sequence, ProgramId program, Kind kind) {

  /** What happened to the memory. */
  public enum Kind {
    /** The engine holds memory of the program. */
    STORED,
    /** The engine holds no memory of the program. */
    EVICTED
  }

  /** Rejects missing parts. */
  public CacheEvent {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(program, "program");
    Objects.requireNonNull(kind, "kind");
  }
}
