package io.magnoliaroute.core.gateway.workspace;

import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.RoutingTable;
import java.util.Optional;

/**
 * The decision whether a request may run with the key that it carries.
 *
 * @param verdict the decision
 * @param workspace the workspace that holds the key; empty unless the request may run on its behalf
 */
public record KeyAuthorization(Verdict verdict, Optional<Workspace> workspace) {

  /** The outcome of the decision. */
  public enum Verdict {
    /** The request may run. */
    ACCEPTED,
    /** No workspace holds the key. */
    REJECTED,
    /** The configuration of this VM may be too old to tell. */
    UNCERTAIN
  }

  /**
   * Decides on a request.
   *
   * @param table the configuration
   * @param route the route of the request
   * @param key the hash of the request's key; empty if it carries none
   * @param unconfirmedMs time since the store last confirmed that the configuration is the newest
   * @param maxUnconfirmedMs time since the last confirmation up to which a key that is not in the
   *     configuration counts as unknown. A rejection ends the client's program, so that beyond this
   *     time the key may have been added meanwhile
   * @param revocation the rule for keys that may have been withdrawn
   */
  public static KeyAuthorization decide(
      RoutingTable table,
      Route route,
      Optional<BearerKeyHash> key,
      long unconfirmedMs,
      long maxUnconfirmedMs,
      KeyRevocation revocation) {
    if (table.workspaces().isEmpty()) {
      return new KeyAuthorization(Verdict.ACCEPTED, Optional.empty());
    }
    Optional<Workspace> workspace = key.flatMap(table.workspaces().get()::findByKey);
    if (route.isPublic()) {
      return new KeyAuthorization(Verdict.ACCEPTED, workspace);
    }
    if (workspace.isPresent()) {
      return revocation.strict() && unconfirmedMs > revocation.limitMs()
          ? new KeyAuthorization(Verdict.UNCERTAIN, Optional.empty())
          : new KeyAuthorization(Verdict.ACCEPTED, workspace);
    }
    Verdict verdict = unconfirmedMs > maxUnconfirmedMs ? Verdict.UNCERTAIN : Verdict.REJECTED;
    return new KeyAuthorization(verdict, Optional.empty());
  }
}
