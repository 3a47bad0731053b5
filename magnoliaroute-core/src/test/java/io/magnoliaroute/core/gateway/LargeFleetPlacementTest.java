package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against engines that spend their time on prompts that other engines have cached, in a
 * fleet in which each VM sends an engine a request only every few seconds.
 */
@DisplayName("In a fleet of 111 VMs and 34 engines")
class LargeFleetPlacementTest {

  private static final PlacementSimulation.Fleet FLEET =
      new PlacementSimulation.Fleet(111, 34, 12, 230_000, 0, 0);

  @Test
  @DisplayName("half of the turns take less than 1.6 times as long as on an idle engine")
  void enginesAreNotKeptBusyWithPromptsThatOthersHaveCached() {
    PlacementSimulation simulation = new PlacementSimulation(FLEET);
    simulation.run(600);

    double median = simulation.quantile(0.5);
    assertTrue(median < 1.6, "median of " + simulation.turns() + " turns: " + median);
  }
}
