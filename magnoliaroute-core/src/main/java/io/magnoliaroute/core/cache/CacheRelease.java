package io.magnoliaroute.core.cache;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.Objects;

/**
 * An effect: order the engine to release the memory of a program. Doing it twice does no harm.
 *
 * @param endpoint the engine
 * @param program the program, which has ended
 */
public record CacheRelease(EndpointId endpoint, ProgramId program) {

  /** Rejects missing parts. */
  public CacheRelease {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(program, "program");
  }
}
