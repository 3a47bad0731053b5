package io.magnoliaroute.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.TeamId;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/** The counters and histograms of this VM, with the text form of {@code /metrics}. */
public final class DaemonMetrics {

  /**
   * Histograms of single teams that are kept, the ones used last. One histogram takes about 30 KB,
   * so a series for each of 9,200 teams and 3 classes would not fit into the memory of a VM.
   */
  static final int MAX_TEAM_SERIES = 256;

  private static final float LOAD_FACTOR = 0.75f;
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final MetricRegistry registry = new MetricRegistry();
  private final Map<String, Histogram> teamSeries =
      new LinkedHashMap<>(MAX_TEAM_SERIES, LOAD_FACTOR, true);

  /** Counts an event. */
  public void count(String name) {
    registry.counter(name).inc();
  }

  /** Counts an event under a label. */
  public void count(String name, String label, String value) {
    registry.counter(name + "{" + label + "=\"" + value + "\"}").inc();
  }

  /** Returns the value of a counter. */
  public long countOf(String name) {
    Counter counter = registry.getCounters().get(name);
    return counter == null ? 0 : counter.getCount();
  }

  /** Records a time for a class, and for the team in it. */
  public void time(String name, TeamId team, PriorityClass priority, long valueMs) {
    String classLabel = "class=\"" + priority.wireName() + "\"";
    long recordedMs = Math.max(0, valueMs);
    histogram(name + "{" + classLabel + "}").update(recordedMs);
    teamHistogram(name + "{team=\"" + team + "\"," + classLabel + "}").update(recordedMs);
  }

  /** Records a time under a label. */
  public void timeOf(String name, String label, String value, long valueMs) {
    histogram(name + "{" + label + "=\"" + value + "\"}").update(Math.max(0, valueMs));
  }

  /** Shows a value that is read on each request. */
  public void gauge(String name, Gauge<Number> value) {
    registry.gauge(name, () -> value);
  }

  /** Returns all metrics, one value a line, in order of name. */
  public String text() {
    Map<String, String> lines = new TreeMap<>();
    registry.getCounters().forEach((name, c) -> lines.put(name, String.valueOf(c.getCount())));
    registry.getGauges().forEach((name, g) -> lines.put(name, String.valueOf(g.getValue())));
    registry.getHistograms().forEach((name, h) -> addQuantiles(lines, name, h));
    StringBuilder text = new StringBuilder();
    lines.forEach((name, value) -> text.append(name).append(' ').append(value).append('\n'));
    return text.toString();
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, DaemonMetrics::newHistogram);
  }

  /** Returns the series of a team; the one that was not used for longest makes room for it. */
  private Histogram teamHistogram(String name) {
    synchronized (teamSeries) {
      Histogram known = teamSeries.get(name);
      if (known != null) {
        return known;
      }
      if (teamSeries.size() >= MAX_TEAM_SERIES) {
        String oldest = teamSeries.keySet().iterator().next();
        teamSeries.remove(oldest);
        registry.remove(oldest);
        count("metrics_evicted_series");
      }
      Histogram made = registry.histogram(name, DaemonMetrics::newHistogram);
      teamSeries.put(name, made);
      return made;
    }
  }

  private static Histogram newHistogram() {
    return new Histogram(new HdrHistogramReservoir());
  }

  private static void addQuantiles(Map<String, String> lines, String name, Histogram histogram) {
    int brace = name.indexOf('{');
    String base = name.substring(0, brace);
    String labels = name.substring(brace + 1, name.length() - 1);
    Snapshot snapshot = histogram.getSnapshot();
    lines.put(base + "_count{" + labels + "}", String.valueOf(histogram.getCount()));
    for (double quantile : QUANTILES) {
      String label = String.format(Locale.ROOT, "%s,quantile=\"%s\"", labels, quantile);
      lines.put(
          base + "{" + label + "}",
          String.format(Locale.ROOT, "%.1f", snapshot.getValue(quantile)));
    }
  }
}
