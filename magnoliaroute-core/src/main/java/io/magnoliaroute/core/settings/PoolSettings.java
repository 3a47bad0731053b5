package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PoolId;
import java.util.List;
import java.util.Set;

/**
 * A pool of interchangeable endpoints, the branch {@code pools/<name>}.
 *
 * @param id the id of the pool
 * @param kind the kind of its endpoints
 * @param models the models that its engines serve; empty for a service
 * @param nonIdempotentOperations the operations that must run at most once; empty for engines
 * @param statusQuery whether the service can be queried for the outcome of an idempotency key
 * @param endpoints the endpoints
 */
public record PoolSettings(
    PoolId id,
    PoolKind kind,
    List<String> models,
    Set<String> nonIdempotentOperations,
    boolean statusQuery,
    List<EndpointSettings> endpoints)
    implements Branch {

  /** Copies the collections. */
  public PoolSettings {
    models = List.copyOf(models);
    nonIdempotentOperations = Set.copyOf(nonIdempotentOperations);
    endpoints = List.copyOf(endpoints);
  }
}
