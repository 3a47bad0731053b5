package io.magnoliaroute.daemon.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.TeamId;
import org.junit.jupiter.api.Test;

final class DaemonMetricsTest {

  private static final int TEAM_COUNT = 2 * DaemonMetrics.MAX_TEAM_SERIES;

  private final DaemonMetrics metrics = new DaemonMetrics();

  /** Guards against memory use that grows with the number of teams that ever sent a request. */
  @Test
  void limitsTeamSeriesAndKeepsAllValuesOfClassSeries() {
    for (int i = 0; i < TEAM_COUNT; i++) {
      metrics.recordDuration("wait_ms", new TeamId("team-" + i), PriorityClass.NORMAL, i);
    }
    long teamSeries =
        metrics.toText().lines().filter(line -> line.startsWith("wait_ms_count{team")).count();
    assertEquals(DaemonMetrics.MAX_TEAM_SERIES, teamSeries);
    assertTrue(
        metrics.toText().contains("wait_ms_count{class=\"normal\"} " + TEAM_COUNT),
        metrics.toText());
    assertEquals(
        TEAM_COUNT - DaemonMetrics.MAX_TEAM_SERIES, metrics.counterValue("metrics_evicted_series"));
  }

  /** Guards against the eviction of series that are still in use. */
  @Test
  void keepsRecentlyUsedTeamSeries() {
    for (int i = 0; i < TEAM_COUNT; i++) {
      metrics.recordDuration("wait_ms", new TeamId("steady"), PriorityClass.URGENT, 1);
      metrics.recordDuration("wait_ms", new TeamId("team-" + i), PriorityClass.NORMAL, i);
    }
    String expectedLine = "wait_ms_count{team=\"steady\",class=\"urgent\"} " + TEAM_COUNT;
    assertTrue(metrics.toText().contains(expectedLine), metrics.toText());
  }
}
