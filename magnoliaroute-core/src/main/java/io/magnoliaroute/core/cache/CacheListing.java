package io.magnoliaroute.core.cache;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.Objects;
import java.util.Set;

/**
 * An engine's response to a listing request, which names the programs in its cache.
 *
 * @param endpoint the endpoint of the engine
 * @param sequence the sequence number of the engine's last event at the time of the listing
 * @param programs the programs whose memory the engine holds
 */
public record CacheListing(EndpointId endpoint, long sequence, Set<ProgramId> programs) {

  /** Validates the endpoint and copies the set of programs. */
  public CacheListing {
    Objects.requireNonNull(endpoint, "endpoint");
    programs = Set.copyOf(programs);
  }
}
