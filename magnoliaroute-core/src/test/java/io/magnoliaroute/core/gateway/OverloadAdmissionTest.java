package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.OverloadSimulation.Kind;
import io.magnoliaroute.core.gateway.OverloadSimulation.Outcome;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against overload in which every program becomes late, and against decisions that refuse
 * programs while there is capacity or starve a kind of programs or a workspace.
 */
@DisplayName("With 60 VMs, 34 engines of 12 slots, and a demand peak of 3 s,")
class OverloadAdmissionTest {

  private static final PlacementSimulation.Fleet FLEET =
      new PlacementSimulation.Fleet(60, 34, 12, 292_163, 0, 0, 336, 840);

  /** Turns per second that the fleet runs with all slots in use. */
  private static final double CAPACITY_PER_S = 700;

  private static final long[] SEEDS = {1, 2, 3};
  private static final int WORKSPACES = 20;

  /** A quarter of the target latency of 212 ms. */
  private static final double MAX_REFUSAL_MS = 53;

  private record Comparison(Outcome without, Outcome with, double slowestRefusalMs, int refusals) {

    private static Comparison of(double peak, long seed) {
      OverloadSimulation without = play(false, peak, seed);
      OverloadSimulation with = play(true, peak, seed);
      Comparison result =
          new Comparison(
              without.outcome(), with.outcome(), with.slowestRefusalMs(), with.refusals());
      System.out.println("peak " + peak + ", seed " + seed + ": " + result);
      return result;
    }
  }

  private static OverloadSimulation play(boolean decides, double peak, long seed) {
    OverloadSimulation simulation = new OverloadSimulation(FLEET, decides, WORKSPACES, seed);
    simulation.play(peak, CAPACITY_PER_S);
    return simulation;
  }

  @Test
  @DisplayName("a load below the capacity is served exactly as without the decision")
  void nothingChangesWithoutShortage() {
    Comparison comparison = Comparison.of(0.7, 1);

    assertEquals(0, comparison.refusals());
    assertEquals(comparison.without(), comparison.with());
  }

  @ParameterizedTest
  @ValueSource(doubles = {1.0, 1.3})
  @DisplayName("a demand near the capacity is worth no less than without the decision")
  void nothingIsLostNearTheCapacity(double peak) {
    double without = 0;
    double with = 0;
    for (long seed : SEEDS) {
      Comparison comparison = Comparison.of(peak, seed);
      without += comparison.without().worth();
      with += comparison.with().worth();
    }
    // A turn that meets another choice changes the rest of a run; the sum of the runs varies by
    // about one in a hundred.
    assertTrue(with >= 0.99 * without, with + " with the decision, " + without + " without");
  }

  @ParameterizedTest
  @ValueSource(doubles = {1.7, 2.6})
  @DisplayName("more programs end in time than without the decision, and refusals are immediate")
  void moreProgramsEndInTimeInOverload(double peak) {
    for (long seed : SEEDS) {
      Comparison comparison = Comparison.of(peak, seed);

      assertTrue(comparison.with().inTime() > comparison.without().inTime(), "in time");
      assertTrue(comparison.with().worth() > comparison.without().worth(), "worth");
      assertEquals(0, comparison.with().lost(), "started programs that failed");
      assertTrue(comparison.slowestRefusalMs() <= MAX_REFUSAL_MS, "slow refusal");
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {1.3, 1.7, 2.6})
  @DisplayName("no kind of programs and no workspace is starved")
  void nobodyIsStarved(double peak) {
    OverloadSimulation simulation = play(true, peak, 1);
    double average = simulation.outcome().inTimeShare();

    for (Kind kind : Kind.values()) {
      double share = simulation.outcome((k, w) -> k == kind).inTimeShare();
      assertTrue(share >= average / 4, kind + ": " + share + " of " + average);
    }
    for (int i = 0; i < WORKSPACES; i++) {
      int workspace = i;
      double share = simulation.outcome((k, w) -> w == workspace).inTimeShare();
      assertTrue(share >= average / 4, "workspace " + i + ": " + share + " of " + average);
    }
  }
}
