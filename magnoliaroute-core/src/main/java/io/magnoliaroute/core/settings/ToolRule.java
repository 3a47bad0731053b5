package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PoolId;
import java.util.Set;

/**
 * The operations of a service that a team may call.
 *
 * @param service the pool of the service
 * @param operations the allowed operations
 */
public record ToolRule(PoolId service, Set<String> operations) {

  /** Copies the operations. */
  public ToolRule {
    operations = Set.copyOf(operations);
  }
}
