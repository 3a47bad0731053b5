package io.magnoliaroute.core.placement;

import io.magnoliaroute.core.model.EndpointId;
import java.util.Objects;

/**
 * Order to an engine to load or unload weights. Orders are idempotent.
 *
 * @param endpoint the engine
 * @param action the action to execute
 * @param variant the weights to load or unload
 * @param fencingToken the log offset of the owner's claim; an engine that checks tokens refuses an
 *     order whose token is lower than the highest it has received
 */
public record PlacementOrder(
    EndpointId endpoint, Action action, ModelVariant variant, long fencingToken) {

  /** Action that an engine executes. */
  public enum Action {
    /** Fetches the weights from the weight store and serves them. */
    LOAD,
    /** Stops serving the weights and frees their memory. */
    UNLOAD
  }

  /** Response of an engine to an order. */
  public enum Response {
    /** The order was executed. */
    DONE,
    /** The order was not executed, for example because the weight store is unavailable. */
    FAILED,
    /** The engine has received a higher fencing token; another VM owns the endpoint group. */
    OLD_TOKEN
  }

  /** Rejects null components. */
  public PlacementOrder {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(action, "action");
    Objects.requireNonNull(variant, "variant");
  }
}
