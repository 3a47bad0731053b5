package io.magnoliaroute.core.placement;

import io.magnoliaroute.core.model.EndpointId;
import java.util.Objects;

/**
 * An effect: order the engine to load or unload weights. Doing it twice does no harm.
 *
 * @param endpoint the engine
 * @param action what to do
 * @param variant the weights
 * @param fencingToken the offset of the owner's claim; an engine that checks tokens refuses an
 *     order whose token is lower than the highest that it has seen
 */
public record PlacementOrder(
    EndpointId endpoint, Action action, ModelVariant variant, long fencingToken) {

  /** What to do. */
  public enum Action {
    /** Fetch the weights from the weight store and serve them. */
    LOAD,
    /** Stop serving the weights and free their memory. */
    UNLOAD
  }

  /** An engine's answer. */
  public enum Answer {
    /** The order was carried out. */
    DONE,
    /** The order was not carried out; the weight store may be down. */
    FAILED,
    /** The engine has seen a higher fencing token; another VM owns the endpoint group. */
    OLD_TOKEN
  }

  /** Rejects missing parts. */
  public PlacementOrder {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(action, "action");
    Objects.requireNonNull(variant, "variant");
  }
}
