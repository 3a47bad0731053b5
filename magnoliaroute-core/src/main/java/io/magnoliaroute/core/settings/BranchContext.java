package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import java.util.Optional;

/** Provides the data of the other branches of a tree that the checks of one branch need. */
public interface BranchContext {

  /** Returns whether the tree has a branch for the pool. */
  boolean hasPool(PoolId pool);

  /** Returns the kind of the pool, or empty if it is unknown. */
  Optional<PoolKind> poolKind(PoolId pool);

  /**
   * Returns the team that uses the token hash, or empty if none does.
   *
   * @param tokenHash SHA-256 of the token, in lower-case hexadecimal
   */
  Optional<TeamId> teamByTokenHash(String tokenHash);

  /** Returns the pool that the endpoint belongs to, or empty if none does. */
  Optional<PoolId> poolOfEndpoint(EndpointId endpoint);

  /** Returns a context that accepts every reference, for a branch that is parsed on its own. */
  static BranchContext unchecked() {
    return new BranchContext() {
      @Override
      public boolean hasPool(PoolId pool) {
        return true;
      }

      @Override
      public Optional<PoolKind> poolKind(PoolId pool) {
        return Optional.empty();
      }

      @Override
      public Optional<TeamId> teamByTokenHash(String tokenHash) {
        return Optional.empty();
      }

      @Override
      public Optional<PoolId> poolOfEndpoint(EndpointId endpoint) {
        return Optional.empty();
      }
    };
  }
}
