package io.magnoliaroute.core.gateway;

import org.junit.jupiter.api.Test;

class OverloadAdmissionTest {
  @Test
  void trial() {
    for (double cap : new double[] {650, 750, 850}) {
      for (double peak : new double[] {0.7, 1.0, 1.3, 1.7, 2.6}) {
        for (boolean decides : new boolean[] {false, true}) {
          OverloadSimulation s =
              new OverloadSimulation(
                  new PlacementSimulation.Fleet(60, 34, 12, 292_163, 0, 0), decides, 20, 1);
          s.play(peak, cap);
          System.out.println(
              cap
                  + " "
                  + peak
                  + " "
                  + decides
                  + " "
                  + s.outcome()
                  + " unstarted "
                  + s.outcome().failedUnstarted()
                  + " refusals "
                  + s.refusals()
                  + " slowest "
                  + s.slowestRefusalMs()
                  + " kinds "
                  + s.outcome((k, w) -> k == OverloadSimulation.Kind.SHORT).inTimeShare()
                  + " "
                  + s.outcome((k, w) -> k == OverloadSimulation.Kind.LONG).inTimeShare()
                  + " w0 "
                  + s.outcome((k, w) -> w == 0).inTimeShare()
                  + " others "
                  + s.outcome((k, w) -> w != 0).inTimeShare());
        }
      }
    }
  }
}
