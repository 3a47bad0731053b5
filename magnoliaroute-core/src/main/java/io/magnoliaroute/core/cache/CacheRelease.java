package io.magnoliaroute.core.cache;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.Objects;

/**
 * A command for an engine to release the cached memory of a program. The command is idempotent.
 *
 * @param endpoint the endpoint of the engine
 * @param program the program, which has ended
 */
public record CacheRelease(EndpointId endpoint, ProgramId program) {

  /** Rejects null components. */
  public CacheRelease {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(program, "program");
  }
}
