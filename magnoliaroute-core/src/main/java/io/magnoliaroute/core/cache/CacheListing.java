package io.magnoliaroute.core.cache;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.Objects;
import java.util.Set;

/**
 * An engine's answer to a request for what it holds.
 *
 * @param endpoint the engine
 * @param sequence the sequence of the engine's last event when it made the listing
 * @param programs the programs whose memory it holds
 */
public record CacheListing(EndpointId endpoint, long sequence, Set<ProgramId> programs) {

  /** Copies the programs. */
  public CacheListing {
    Objects.requireNonNull(endpoint, "endpoint");
    programs = Set.copyOf(programs);
  }
}
