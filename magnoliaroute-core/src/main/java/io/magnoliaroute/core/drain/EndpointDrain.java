package io.magnoliaroute.core.drain;

import io.magnoliaroute.core.model.EndpointId;
import java.util.Set;

/**
 * An endpoint that must not receive new work.
 *
 * @param endpoint the endpoint
 * @param sinceMs the time of the earliest request among the current sources
 * @param sources the sources that currently drain the endpoint
 */
public record EndpointDrain(EndpointId endpoint, long sinceMs, Set<DrainSource> sources) {

  /** Makes a defensive copy of the sources. */
  public EndpointDrain {
    sources = Set.copyOf(sources);
  }
}
