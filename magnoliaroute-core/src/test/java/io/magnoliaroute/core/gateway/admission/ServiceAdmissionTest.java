package io.magnoliaroute.core.gateway.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.ServiceTimeAverages;
import io.magnoliaroute.core.gateway.admission.AdmissionVerdict.Kind;
import io.magnoliaroute.core.gateway.admission.ServiceOccupancy.Occupancy;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against refusals that a VM's knowledge does not justify, and against an order that is not
 * the operator's. Turns take 400 ms, and their first event is due after 212 ms.
 */
@DisplayName("The admission decision")
class ServiceAdmissionTest {

  private static final long NOW_MS = 100_000;
  private static final Occupancy IDLE = new Occupancy(120, 0, 408, 34, 34);
  private static final Occupancy FULL = new Occupancy(408, 0, 408, 34, 34);
  private static final Occupancy OVERLOADED = new Occupancy(408, 400, 408, 34, 34);

  private final ServiceTimeAverages times = new ServiceTimeAverages();
  private Occupancy occupancy = OVERLOADED;
  private final ServiceAdmission admission =
      new ServiceAdmission((service, nowMs) -> occupancy, times);

  @BeforeEach
  void recordDuration() {
    times.recordDuration("llm", 400);
  }

  private static AdmissionRequest request(int rank, boolean isNew, double draw) {
    return request("w", rank, isNew, draw, 4_000);
  }

  private static AdmissionRequest request(
      String workspace, int rank, boolean isNew, double draw, long programLeftMs) {
    OptionalLong finishAtMs = OptionalLong.of(NOW_MS + programLeftMs);
    return new AdmissionRequest(
        "llm", "r", workspace, rank, isNew, 212, 5, NOW_MS, NOW_MS + 3_185, finishAtMs, 7, draw);
  }

  private AdmissionVerdict decide(AdmissionRequest request, long nowMs) {
    admission.recordArrival(request, nowMs);
    return admission.decide(request, nowMs);
  }

  private Kind decide(AdmissionRequest request) {
    return decide(request, NOW_MS).kind();
  }

  @Test
  @DisplayName("refuses new programs and serves started ones while engines have long queues")
  void newProgramsYield() {
    assertEquals(Kind.REFUSE, decide(request(0, true, 0)));
    assertEquals(Kind.SERVE, decide(request(0, false, 0.999)));
  }

  @Test
  @DisplayName("serves everything while batches are full and queues are empty")
  void fullBatches() {
    occupancy = FULL;

    assertEquals(Kind.SERVE, decide(request(0, true, 0.999)));
  }

  @Test
  @DisplayName("refuses nothing if the load of a single engine or of none is known")
  void noReports() {
    occupancy = new Occupancy(12, 40, 12, 1, 34);
    assertEquals(Kind.SERVE, decide(request(0, true, 0.999)));
    occupancy = new Occupancy(0, 0, 0, 0, 34);
    assertEquals(Kind.SERVE, decide(request(0, true, 0.999)));
  }

  @Test
  @DisplayName("admits a share of the new programs that decreases with the queues")
  void probabilityByExcess() {
    double previous = 1;
    for (int queued = 60; queued <= 120; queued += 20) {
      occupancy = new Occupancy(408, queued, 408, 34, 34);
      double share = decide(request(0, true, 0.5), NOW_MS).probability();

      assertTrue(share < previous, queued + " queued: " + share + " after " + previous);
      previous = share;
    }
  }

  @Test
  @DisplayName("lets a waiting request wait for a short time only, and then refuses it")
  void waitIsShort() {
    occupancy = new Occupancy(408, 80, 408, 34, 34);
    AdmissionRequest request = request(0, true, 0.999);
    AdmissionVerdict verdict = decide(request, NOW_MS);

    assertEquals(Kind.WAIT, verdict.kind());
    assertTrue(verdict.waitUntilMs() - NOW_MS < 53, "waits " + (verdict.waitUntilMs() - NOW_MS));
    assertEquals(Kind.REFUSE, admission.decide(request, verdict.waitUntilMs()).kind());
  }

  @Test
  @DisplayName("serves new programs of a high rank before started ones of a low rank")
  void rankComesFirst() {
    occupancy = new Occupancy(408, 100, 408, 34, 34);
    decide(request(2, false, 0.9));

    assertEquals(Kind.SERVE, decide(request(0, true, 0.9)));
    assertEquals(Kind.WAIT, decide(request(2, true, 0.9)));
    occupancy = OVERLOADED;
    assertEquals(Kind.WAIT, decide(request(2, false, 0.9)));
    assertEquals(Kind.SERVE, decide(request(0, false, 0.9)));
  }

  @Test
  @DisplayName("never refuses a started program of a low rank; it is served after its wait")
  void lowRankIsNotStarved() {
    decide(request(0, false, 0));
    AdmissionRequest request = request(2, false, 0.9);
    AdmissionVerdict verdict = decide(request, NOW_MS);

    assertEquals(Kind.WAIT, verdict.kind());
    assertEquals(Kind.SERVE, admission.decide(request, verdict.waitUntilMs()).kind());
  }

  @Test
  @DisplayName("refuses what cannot end by its deadline, also of a started program")
  void cannotEnd() {
    AdmissionRequest late =
        new AdmissionRequest(
            "llm",
            "r",
            "w",
            0,
            false,
            212,
            5,
            NOW_MS - 3_100,
            NOW_MS + 85,
            OptionalLong.empty(),
            1,
            0);

    assertEquals(Kind.REFUSE_LATE, decide(late));
  }

  @Test
  @DisplayName("keeps refusing programs that can no longer end in time until the load has fallen")
  void lateProgramsWaitForRelief() {
    occupancy = IDLE;
    for (int i = 0; i < 10; i++) {
      decide(request(0, true, 0));
    }
    AdmissionRequest late = request("w", 0, true, 0, 2_000);
    assertEquals(Kind.SERVE, decide(late));
    occupancy = OVERLOADED;
    decide(request(0, true, 0));
    occupancy = FULL;

    assertEquals(Kind.REFUSE, decide(late, NOW_MS + 40).kind());
    assertEquals(Kind.SERVE, decide(request(0, true, 0)));
    occupancy = IDLE;
    assertEquals(Kind.SERVE, decide(late));
  }

  @Test
  @DisplayName("ends a shortage after some time if the load stays high without queues")
  void shortageIsLimited() {
    occupancy = IDLE;
    for (int i = 0; i < 10; i++) {
      decide(request(0, true, 0));
    }
    occupancy = OVERLOADED;
    decide(request(0, true, 0));
    occupancy = FULL;

    AdmissionVerdict verdict = decide(request(0, true, 0), NOW_MS + ServiceDemand.MAX_RELIEF_MS);
    assertEquals(Kind.SERVE, verdict.kind());
  }

  @Test
  @DisplayName("spreads retries over the time in which the refused programs can be served")
  void retriesAreSpread() {
    SplittableRandom random = new SplittableRandom(11);
    int[] perTenth = new int[10];
    long latestMs = 3_185 / 3;
    for (int i = 0; i < 1_000; i++) {
      AdmissionVerdict verdict = decide(request(0, true, random.nextDouble()), NOW_MS);
      long retryMs = verdict.retryAfterMs();
      assertTrue(retryMs >= 100 && retryMs <= latestMs, "retry after " + retryMs + " ms");
      perTenth[(int) (10 * (retryMs - 1) / latestMs)]++;
    }
    for (int tenth = 3; tenth < 10; tenth++) {
      assertTrue(perTenth[tenth] > 50, "tenth " + tenth + " has " + perTenth[tenth]);
    }
  }

  @Test
  @DisplayName("admits fewer programs of a workspace with 7.5 times the demand, but not none")
  void fairness() {
    occupancy = new Occupancy(408, 85, 408, 34, 34);
    for (int i = 0; i < 20; i++) {
      for (int j = 0; j < 15; j++) {
        decide(request("busy", 0, true, 0.5, 4_000));
      }
      decide(request("usual", 0, true, 0.5, 4_000));
      decide(request("usual2", 0, true, 0.5, 4_000));
    }
    double busy = decide(request("busy", 0, true, 0.5, 4_000), NOW_MS).probability();
    double usual = decide(request("usual", 0, true, 0.5, 4_000), NOW_MS).probability();

    assertTrue(busy < usual && busy >= usual / 8, busy + " and " + usual);
  }
}
