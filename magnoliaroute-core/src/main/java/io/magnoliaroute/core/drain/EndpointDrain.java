package io.magnoliaroute.core.drain;

import io.magnoliaroute.core.model.EndpointId;
import java.util.Set;

/**
 * An endpoint that gets no new work.
 *
 * @param endpoint the endpoint
 * @param sinceMs when the earliest of the sources named it
 * @param sources the sources that name it now
 */
public record EndpointDrain(EndpointId endpoint, long sinceMs, Set<DrainSource> sources) {

  /** Copies the sources. */
  public EndpointDrain {
    sources = Set.copyOf(sources);
  }
}
