package io.magnoliaroute.core.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.workspace.WorkspaceQuota;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against workspaces that exceed their quota over all VMs together, and against refusals of
 * requests under it, while VMs fail. The load is that of 136 VMs and 87 workspaces.
 */
@DisplayName("The quotas of 87 workspaces over 136 VMs")
class WorkspaceQuotaTest {

  private static final int WORKSPACES = 87;
  private static final double EXPONENT = 1.2;
  private static final double REQUESTS_PER_S = 1_000;
  private static final double CAP_TIMES_SHARE = 1.6;
  private static final double FLOOD_TIMES_SHARE = 7.5;
  private static final long WINDOW_MS = QuotaBounds.DEFAULT.windowMs();

  /** Time after the start that does not count as calm: buckets start empty. */
  private static final long START_MS = 5_000;

  private static final long FAULT_MS = 10_000;
  private static final long END_MS = 25_000;

  /** Time within which service must have recovered after a fault. */
  private static final long RECOVERED_MS = 15_000;

  /**
   * Share of the requests under the quotas that are served in 20 s around a partition: each change
   * of an issuer may cost up to a second of its workspaces.
   */
  private static final double FAULT_SHARE = 0.95;

  private static final long SEED = Long.getLong("quota.seed", 20_261_206);

  private QuotaFleet fleet;

  @BeforeEach
  void start() {
    System.out.println("quota.seed=" + SEED);
    fleet = new QuotaFleet(SEED);
    for (int rank = 1; rank <= WORKSPACES; rank++) {
      double perS = CAP_TIMES_SHARE * demandPerS(rank);
      fleet.setQuota(name(rank), perS, Math.max(5, perS));
    }
  }

  private static String name(int rank) {
    return "w" + rank;
  }

  private static double demandPerS(int rank) {
    double sum = 0;
    for (int each = 1; each <= WORKSPACES; each++) {
      sum += Math.pow(each, -EXPONENT);
    }
    return REQUESTS_PER_S * Math.pow(rank, -EXPONENT) / sum;
  }

  private void loadAll(double flood, int floodedRank) {
    for (int rank = 1; rank <= WORKSPACES; rank++) {
      double times = rank == floodedRank ? flood : 1;
      fleet.load(name(rank), times * demandPerS(rank), 0, END_MS, this::anyVm);
    }
  }

  private QuotaFleet.Vm anyVm(SplittableRandom random) {
    return fleet.anyVm(random);
  }

  // Begins just before the fault, so that the buckets are full until then.
  private void floodAll(Function<SplittableRandom, QuotaFleet.Vm> target) {
    for (int rank = 1; rank <= WORKSPACES; rank += 6) {
      double perS = FLOOD_TIMES_SHARE * demandPerS(rank);
      fleet.load(name(rank), perS, FAULT_MS - 300, END_MS, target);
    }
  }

  private void assertWithinBound() {
    double most = 0;
    for (String workspace : fleet.workspaces()) {
      WorkspaceQuota quota = fleet.quota(workspace);
      double used = assertWithinBound(workspace, quota.requestsPerS(), quota.burst(), 0);
      most = Math.max(most, used);
    }
    System.out.printf("busiest window: %.3f of the bound%n", most);
  }

  private double assertWithinBound(String workspace, double perS, double burst, long fromMs) {
    QuotaBounds bounds = QuotaBounds.DEFAULT;
    double allowed =
        (perS * WINDOW_MS / 1_000 + burst) * (1 + bounds.tolerance()) + bounds.slackRequests();
    long[] busiest = QuotaFleet.busiestWindow(fleet.ran(workspace), WINDOW_MS, fromMs);
    assertTrue(
        busiest[0] <= allowed,
        "%s ran %d requests in the window up to %d ms, allowed are %.1f"
            .formatted(workspace, busiest[0], busiest[1], allowed));
    return busiest[0] / allowed;
  }

  private void assertServed(double minShare, long fromMs, long toMs, int exceptRank) {
    assertServed(minShare, fromMs, toMs, exceptRank, 1);
  }

  /**
   * Asserts which share of the requests under the quotas is served.
   *
   * @param quotaShare the share of the quotas that the VMs may issue
   */
  private void assertServed(
      double minShare, long fromMs, long toMs, int exceptRank, double quotaShare) {
    int under = 0;
    int undecided = 0;
    int refused = 0;
    for (int rank = 1; rank <= WORKSPACES; rank++) {
      if (rank == exceptRank) {
        continue;
      }
      int arrived = fleet.arrived(name(rank), fromMs, toMs);
      int over = arrived - fleet.underQuota(name(rank), fromMs, toMs, quotaShare);
      undecided += fleet.undecided(name(rank), fromMs, toMs);
      under += arrived - over;
      refused += Math.max(0, fleet.refused(name(rank), fromMs, toMs) - over);
    }
    double share = 1 - (double) refused / under;
    System.out.printf(
        "served %.4f of %d requests under the quotas, %d to %d ms, %d undecided%n",
        share, under, fromMs, toMs, undecided);
    assertTrue(share >= minShare, "served share " + share + " of " + under);
  }

  @Test
  @DisplayName("are not refused under their caps, though each VM gets less than a request in 10 s")
  void calm() {
    loadAll(1, 0);
    long[] atStart = new long[1];
    fleet.at(START_MS, () -> atStart[0] = fleet.messages());
    fleet.runUntil(END_MS);
    assertWithinBound();
    assertServed(0.999, START_MS, END_MS, 0);
    System.out.println(
        "messages per s: " + (fleet.messages() - atStart[0]) * 1_000 / (END_MS - START_MS));
  }

  @Test
  @DisplayName("hold for a workspace at 7.5 times its load, which costs the others nothing")
  void flood() {
    loadAll(FLOOD_TIMES_SHARE, 1);
    fleet.runUntil(END_MS);
    assertWithinBound();
    assertServed(0.999, START_MS, END_MS, 1);
    WorkspaceQuota quota = fleet.quota(name(1));
    long ran = fleet.ran(name(1)).stream().filter(each -> each >= START_MS).count();
    double share = ran / (quota.requestsPerS() * (END_MS - START_MS) / 1_000);
    assertTrue(share >= 0.95, "flooding workspace got " + share + " of its cap");
  }

  @Test
  @DisplayName("hold if all requests of a workspace arrive at one VM, which is not refused")
  void singleVm() {
    QuotaFleet.Vm only = fleet.vm(100);
    for (int rank = 1; rank <= WORKSPACES; rank++) {
      fleet.load(name(rank), demandPerS(rank), 0, END_MS, random -> only);
    }
    fleet.runUntil(END_MS);
    assertWithinBound();
    assertServed(0.999, START_MS, END_MS, 0);
  }

  @Test
  @DisplayName("hold when issuers are killed one after the other, within a single window")
  void issuersKilled() {
    loadAll(1, 0);
    floodAll(this::anyVm);
    for (int i = 0; i < 4; i++) {
      fleet.at(FAULT_MS + i * 900L, () -> fleet.kill(fleet.issuer(name(1), fleet.vm(135))));
    }
    fleet.runUntil(END_MS);
    assertWithinBound();
  }

  @Test
  @DisplayName("cost no request under the caps when an issuer is killed and restarted")
  void issuerRestarted() {
    loadAll(1, 0);
    QuotaFleet.Vm[] killed = new QuotaFleet.Vm[1];
    fleet.at(
        FAULT_MS,
        () -> {
          killed[0] = fleet.issuer(name(1), fleet.vm(135));
          fleet.kill(killed[0]);
        });
    fleet.at(FAULT_MS + 3_000, () -> fleet.restart(killed[0]));
    fleet.runUntil(END_MS);
    assertWithinBound();
    assertServed(0.99, START_MS, END_MS, 0);
  }

  @Test
  @DisplayName("hold when an issuer falls silent, and when it goes on after the others replaced it")
  void issuerPaused() {
    loadAll(1, 0);
    floodAll(this::anyVm);
    QuotaFleet.Vm paused = fleet.vm(3);
    for (int rank = 1; rank <= WORKSPACES; rank++) {
      fleet.load(name(rank), 2, FAULT_MS, END_MS, random -> paused);
    }
    for (QuotaFleet.Vm each : fleet.all().subList(0, 30)) {
      fleet.at(FAULT_MS, () -> fleet.pause(each, true));
      fleet.at(FAULT_MS + 2_000, () -> fleet.pause(each, false));
    }
    fleet.runUntil(END_MS);
    assertWithinBound();
  }

  @Test
  @DisplayName("hold while a third of the VMs is cut off from all others, one by one")
  void vmsIsolated() {
    isolateThird();
    loadAll(1, 0);
    floodAll(this::anyVm);
    fleet.runUntil(END_MS);
    assertWithinBound();
  }

  @Test
  @DisplayName("cost few requests under the caps while a third of the VMs is cut off")
  void connectedVmsServeDuringIsolation() {
    isolateThird();
    for (int rank = 1; rank <= WORKSPACES; rank++) {
      fleet.load(
          name(rank), demandPerS(rank) * 2 / 3, 0, END_MS, random -> fleet.vm(notIsolated(random)));
    }
    fleet.runUntil(END_MS);
    assertWithinBound();
    assertServed(FAULT_SHARE, START_MS, END_MS, 0, 2.0 / 3);
  }

  private static int notIsolated(SplittableRandom random) {
    int number = random.nextInt(QuotaFleet.VMS);
    return number % 3 == 0 ? number + 1 - 2 * (number / 135) : number;
  }

  private void isolateThird() {
    for (int i = 0; i < QuotaFleet.VMS; i += 3) {
      QuotaFleet.Vm vm = fleet.vm(i);
      fleet.at(FAULT_MS + i * 30L, () -> fleet.isolate(vm, true));
      fleet.at(FAULT_MS + i * 30L + 6_000, () -> fleet.isolate(vm, false));
    }
  }

  @Test
  @DisplayName("hold if every VM is cut off from every other one, and all are flooded")
  void allIsolated() {
    floodAll(this::anyVm);
    fleet.at(FAULT_MS, () -> fleet.all().forEach(vm -> fleet.isolate(vm, true)));
    fleet.at(FAULT_MS + 8_000, () -> fleet.all().forEach(vm -> fleet.isolate(vm, false)));
    fleet.runUntil(END_MS);
    assertWithinBound();
  }

  @Test
  @DisplayName("hold on both sides together while a data centre is cut off and rejoins")
  void dataCentreCutOff() {
    loadAll(1, 0);
    floodAll(this::anyVm);
    cutDataCentre();
    fleet.runUntil(END_MS);
    assertWithinBound();
  }

  @Test
  @DisplayName("cost few requests under the caps while a data centre is cut off")
  void bothSidesServe() {
    loadAll(1, 0);
    cutDataCentre();
    fleet.runUntil(END_MS);
    assertWithinBound();
    assertServed(FAULT_SHARE, START_MS, END_MS, 0);
  }

  private void cutDataCentre() {
    fleet.at(FAULT_MS, () -> fleet.cutOff("dc1", true));
    fleet.at(FAULT_MS + 6_000, () -> fleet.cutOff("dc1", false));
  }

  @Test
  @DisplayName("hold over a loss of power of all VMs, also if it happens twice within a window")
  void powerLoss() {
    loadAll(1, 0);
    floodAll(this::anyVm);
    for (long atMs : new long[] {FAULT_MS, FAULT_MS + 2_000}) {
      fleet.at(atMs, fleet::losePower);
      fleet.at(atMs + 500, fleet::restoreAll);
    }
    fleet.runUntil(FAULT_MS + 2_500 + RECOVERED_MS);
    assertWithinBound();
  }

  @Test
  @DisplayName("hold at a lowered cap one window after all VMs know it")
  void capLowered() {
    floodAll(this::anyVm);
    WorkspaceQuota before = fleet.quota(name(1));
    fleet.at(
        FAULT_MS, () -> fleet.changeQuota(name(1), before.requestsPerS() / 4, before.burst() / 4));
    fleet.runUntil(END_MS);
    assertWithinBound(name(1), before.requestsPerS(), before.burst(), 0);
    assertWithinBound(name(1), before.requestsPerS() / 4, before.burst() / 4, FAULT_MS + WINDOW_MS);
  }
}
