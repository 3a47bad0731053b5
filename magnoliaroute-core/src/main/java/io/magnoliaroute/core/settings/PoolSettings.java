package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PoolId;
import java.util.List;
import java.util.Set;

/**
 * A pool of interchangeable endpoints, the branch {@code pools/<name>}.
 *
 * @param id the pool
 * @param kind what its endpoints are
 * @param models the models that its engines serve; empty for a service
 * @param nonIdempotentOperations operations that run at most once; empty for engines
 * @param statusQuery whether the service answers what became of an idempotency key
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
