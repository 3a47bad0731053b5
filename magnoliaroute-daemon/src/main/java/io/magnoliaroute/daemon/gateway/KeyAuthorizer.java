package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.gateway.workspace.KeyAuthorization;
import io.magnoliaroute.core.gateway.workspace.KeyRevocation;
import io.magnoliaroute.platform.RequestHeaderCodec;
import io.vertx.core.MultiMap;
import java.util.function.LongSupplier;

/**
 * Authorizes requests by the workspaces of this VM's configuration, in view of how recently the
 * store has confirmed it. Used on one event loop.
 */
final class KeyAuthorizer {

  /**
   * Share of the limit for configuration changes: while the configuration was confirmed within this
   * time, a key that it does not hold is unknown. A held read of half the limit confirms it in
   * time.
   */
  private static final double CERTAIN_FRACTION = 0.75;

  private final long maxUnconfirmedMs;
  private final KeyRevocation revocation;
  private LongSupplier unconfirmedMs = () -> Long.MAX_VALUE;

  KeyAuthorizer(long configLimitMs, KeyRevocation revocation) {
    this.maxUnconfirmedMs = (long) (CERTAIN_FRACTION * configLimitMs);
    this.revocation = revocation;
  }

  /** Sets the source of the time since the store last confirmed the configuration. */
  void setUnconfirmedMs(LongSupplier source) {
    unconfirmedMs = source;
  }

  /** Decides whether a request may run. */
  KeyAuthorization authorize(RoutingTable table, Route route, MultiMap headers) {
    return KeyAuthorization.decide(
        table,
        route,
        RequestHeaderCodec.keyHash(headers),
        unconfirmedMs.getAsLong(),
        maxUnconfirmedMs,
        revocation);
  }
}
