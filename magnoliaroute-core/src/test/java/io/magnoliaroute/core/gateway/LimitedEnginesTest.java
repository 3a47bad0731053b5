package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against programs that move between engines, and prompts that are read again, because the
 * request limits of engines are used up for a moment.
 */
@DisplayName("While four of six engines limit their requests to 8 per second")
class LimitedEnginesTest {

  private static final PlacementSimulation.Fleet FLEET =
      new PlacementSimulation.Fleet(21, 6, 48, 1_181_151, 4, 8);

  /**
   * The lower bound at 130 turns per second: the other two engines serve 49 turns per second each,
   * with the prefill of the new parts of their prompts only.
   */
  private static final double MIN_MEDIAN = 2.3;

  @Test
  @DisplayName("turns take little longer than the other engines need at best")
  void programsWaitForPermitsRatherThanMove() {
    PlacementSimulation simulation = new PlacementSimulation(FLEET);
    simulation.run(130);

    double median = simulation.quantile(0.5);
    assertTrue(median <= 1.1 * MIN_MEDIAN, "median of " + simulation.turns() + " turns: " + median);
  }
}
