package io.magnoliaroute.core.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.workspace.WorkspaceQuota;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against credit that is granted twice, or that is refused though it is left. */
@DisplayName("The issuer of a workspace's permits")
class WorkspacePermitIssuerTest {

  private static final IssuerStanding ALONE = new IssuerStanding(1, true, false);
  private static final PermitDemand DEMAND = new PermitDemand("w1", 1, new WorkspaceQuota(10, 20));
  private static final long WINDOW_MS = QuotaBounds.DEFAULT.windowMs();

  /** A time at which the bucket, opened at 0, is full. */
  private static final long FULL_MS = 100_000;

  private final WorkspacePermitIssuer issuer = new WorkspacePermitIssuer(QuotaBounds.DEFAULT);

  private int grantAll(PermitDemand demand, IssuerStanding standing, long nowMs) {
    int granted = 0;
    while (issuer.request(demand, standing, nowMs).granted()) {
      granted++;
    }
    return granted;
  }

  @Test
  @DisplayName("grants the burst after a quiet time, then the rate")
  void burstAndRate() {
    grantAll(DEMAND, ALONE, 0);
    assertEquals(20, grantAll(DEMAND, ALONE, FULL_MS));
    assertEquals(10, grantAll(DEMAND, ALONE, FULL_MS + 1_000));
    assertEquals(100, issuer.request(DEMAND, ALONE, FULL_MS + 1_000).delayMs());
  }

  @Test
  @DisplayName("grants a returned permit again, but no more than the quota in a window")
  void returnedPermits() {
    grantAll(DEMAND, ALONE, 0);
    assertEquals(20, grantAll(DEMAND, ALONE, FULL_MS));
    issuer.giveBack("w1", FULL_MS, FULL_MS + 10);
    assertEquals(1, grantAll(DEMAND, ALONE, FULL_MS + 10));
    issuer.giveBack("w1", FULL_MS - WINDOW_MS * 2, FULL_MS + 10);
    assertEquals(0, grantAll(DEMAND, ALONE, FULL_MS + 10));
    int granted = 20;
    for (long atMs = FULL_MS + 100; atMs <= FULL_MS + WINDOW_MS; atMs += 100) {
      granted += grantAll(DEMAND, ALONE, atMs);
    }
    assertTrue(granted <= 10 * 5 + 20 + 1, granted + " granted in a window");
  }

  @Test
  @DisplayName("grants nothing from the quiet time of a new issuer that may not be the only one")
  void quietTime() {
    IssuerStanding opposed = new IssuerStanding(1, false, false);
    long delayMs = issuer.request(DEMAND, opposed, 0).delayMs();
    assertTrue(delayMs >= WorkspacePermitIssuer.QUIET_MS, "usable after " + delayMs + " ms");
  }

  @Test
  @DisplayName("starts with its credit once in a window, however often the issuer changes")
  void startCredit() {
    int first = grantAll(DEMAND, ALONE, 0);
    assertTrue(first >= 1, "a small workspace is not served at once");
    issuer.retain(workspace -> false);
    assertEquals(0, grantAll(DEMAND, ALONE, 10));
  }

  @Test
  @DisplayName("exceeds its share by one permit in a window while it reaches no other VM")
  void extraPermit() {
    IssuerStanding isolated = new IssuerStanding(1.0 / 136, true, true);
    assertEquals(1, grantAll(DEMAND, isolated, 0));
    assertEquals(0, grantAll(DEMAND, isolated, WINDOW_MS));
    assertEquals(1, grantAll(DEMAND, isolated, WINDOW_MS + 1));
  }

  @Test
  @DisplayName("applies the newer version of the quota, whoever asks with an older one")
  void newerVersion() {
    grantAll(DEMAND, ALONE, 0);
    PermitDemand lowered = new PermitDemand("w1", 2, new WorkspaceQuota(1, 2));
    assertEquals(2, grantAll(lowered, ALONE, FULL_MS));
    assertEquals(0, grantAll(DEMAND, ALONE, FULL_MS + 900));
    PermitDemand unlimited = new PermitDemand("w1", 3, WorkspaceQuota.UNLIMITED);
    assertTrue(issuer.request(unlimited, ALONE, FULL_MS + 900).granted());
    assertTrue(issuer.request(DEMAND, ALONE, FULL_MS + 900).granted());
  }

  @Test
  @DisplayName("keeps a bounded number of accounts")
  void boundedAccounts() {
    for (int i = 0; i < WorkspacePermitIssuer.MAX_ACCOUNTS; i++) {
      issuer.request(new PermitDemand("w" + i, 1, DEMAND.quota()), ALONE, 0);
    }
    assertFalse(issuer.request(new PermitDemand("other", 1, DEMAND.quota()), ALONE, 0).granted());
  }
}
