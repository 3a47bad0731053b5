package io.magnoliaroute.core.gateway.workspace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.gateway.ClientLimits;
import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.RouteKind;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.gateway.workspace.KeyAuthorization.Verdict;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that run without a key, with a withdrawn one, or end their program with
 * 401 on a VM that has not read of the key yet.
 */
@DisplayName("A request of a deployment with workspaces")
class KeyAuthorizationTest {

  private static final long MAX_UNCONFIRMED_MS = 2_250;
  private static final KeyRevocation LENIENT = new KeyRevocation(false, 5_000);
  private static final KeyRevocation STRICT = new KeyRevocation(true, 5_000);
  private static final Optional<BearerKeyHash> KNOWN = Optional.of(BearerKeyHash.ofKey("k"));
  private static final Optional<BearerKeyHash> UNKNOWN = Optional.of(BearerKeyHash.ofKey("x"));
  private static final Workspace WORKSPACE =
      new Workspace("w", OptionalInt.empty(), WorkspaceQuota.UNLIMITED);
  private static final RoutingTable TABLE =
      new RoutingTable(
          1,
          List.of(),
          Map.of(),
          ClientLimits.DEFAULT,
          Optional.of(new WorkspaceDirectory(List.of(WORKSPACE), Map.of(KNOWN.get(), WORKSPACE))));

  private static Route route(boolean isPublic) {
    return new Route(
        "r",
        "h",
        "/",
        RouteKind.IDEMPOTENT,
        false,
        1_000,
        100,
        0,
        1,
        List.of(new Route.Backend("s", 1)),
        isPublic,
        false,
        0,
        0);
  }

  private static Verdict verdict(
      Optional<BearerKeyHash> key, long unconfirmedMs, KeyRevocation revocation) {
    return KeyAuthorization.decide(
            TABLE, route(false), key, unconfirmedMs, MAX_UNCONFIRMED_MS, revocation)
        .verdict();
  }

  @Test
  @DisplayName("runs for the workspace that holds its key")
  void knownKey() {
    KeyAuthorization authorization =
        KeyAuthorization.decide(TABLE, route(false), KNOWN, 0, MAX_UNCONFIRMED_MS, LENIENT);
    assertEquals(new KeyAuthorization(Verdict.ACCEPTED, Optional.of(WORKSPACE)), authorization);
  }

  @Test
  @DisplayName("is rejected without a key of the configuration")
  void unknownKey() {
    assertEquals(Verdict.REJECTED, verdict(UNKNOWN, 0, LENIENT));
    assertEquals(Verdict.REJECTED, verdict(Optional.empty(), MAX_UNCONFIRMED_MS, LENIENT));
  }

  @Test
  @DisplayName("is not rejected while its key may have been added unnoticed")
  void keyThatMayHaveBeenAdded() {
    assertEquals(Verdict.UNCERTAIN, verdict(UNKNOWN, MAX_UNCONFIRMED_MS + 1, LENIENT));
  }

  @Test
  @DisplayName(
      "runs with a key that may have been withdrawn unnoticed, unless revocation is strict")
  void keyThatMayHaveBeenWithdrawn() {
    assertEquals(Verdict.ACCEPTED, verdict(KNOWN, 60_000, LENIENT));
    assertEquals(Verdict.ACCEPTED, verdict(KNOWN, 5_000, STRICT));
    assertEquals(Verdict.UNCERTAIN, verdict(KNOWN, 5_001, STRICT));
  }

  @Test
  @DisplayName("needs no key on a public route, and runs for the workspace of one that it has")
  void publicRoute() {
    assertEquals(
        new KeyAuthorization(Verdict.ACCEPTED, Optional.empty()),
        KeyAuthorization.decide(TABLE, route(true), UNKNOWN, 60_000, 0, STRICT));
    assertEquals(
        new KeyAuthorization(Verdict.ACCEPTED, Optional.of(WORKSPACE)),
        KeyAuthorization.decide(TABLE, route(true), KNOWN, 0, 0, STRICT));
  }
}
