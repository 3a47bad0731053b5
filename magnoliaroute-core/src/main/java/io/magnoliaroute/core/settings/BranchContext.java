package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import java.util.Optional;

/** The other branches of a tree, as far as the checks of one branch need them. */
public interface BranchContext {

  /** Returns whether the pool exists. */
  boolean hasPool(PoolId pool);

  /** Returns the kind of the pool, if it exists. */
  Optional<PoolKind> poolKind(PoolId pool);

  /** Returns the team that uses the token hash, in lower case. */
  Optional<TeamId> teamOfToken(String tokenHash);

  /** Returns the pool that the endpoint is in. */
  Optional<PoolId> poolOfEndpoint(EndpointId endpoint);

  /** Returns a context in which every reference is taken as right, for a branch on its own. */
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
      public Optional<TeamId> teamOfToken(String tokenHash) {
        return Optional.empty();
      }

      @Override
      public Optional<PoolId> poolOfEndpoint(EndpointId endpoint) {
        return Optional.empty();
      }
    };
  }
}
