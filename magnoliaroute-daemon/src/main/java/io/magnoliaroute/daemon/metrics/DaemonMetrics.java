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

/** The counters, gauges and histograms of this VM, and their text format for {@code /metrics}. */
public final class DaemonMetrics {

  /**
   * The maximum number of team histograms; the least recently used one is evicted. A histogram
   * takes about 30 KB, so that one for each of 9,200 teams and 3 classes would not fit into the
   * memory of a VM.
   */
  static final int MAX_TEAM_SERIES = 256;

  private static final float MAP_LOAD_FACTOR = 0.75f;
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final MetricRegistry registry = new MetricRegistry();
  private final Map<String, Histogram> teamHistograms =
      new LinkedHashMap<>(MAX_TEAM_SERIES, MAP_LOAD_FACTOR, true);

  /** Increments the counter of the name by one. */
  public void increment(String name) {
    registry.counter(name).inc();
  }

  /** Increments the counter of the name and label value by one. */
  public void increment(String name, String label, String value) {
    registry.counter(name + "{" + label + "=\"" + value + "\"}").inc();
  }

  /** Adds to the counter with a label. */
  public void add(String name, String label, String value, long count) {
    registry.counter(name + "{" + label + "=\"" + value + "\"}").inc(count);
  }

  /** Returns the value of a counter, or 0 if it was never incremented. */
  public long counterValue(String name) {
    Counter counter = registry.getCounters().get(name);
    return counter == null ? 0 : counter.getCount();
  }

  /**
   * Records a duration for a priority class, and for a team within that class. Negative values
   * count as 0.
   */
  public void recordDuration(String name, TeamId team, PriorityClass priority, long valueMs) {
    String classLabel = "class=\"" + priority.wireName() + "\"";
    long recordedMs = Math.max(0, valueMs);
    histogramOf(name + "{" + classLabel + "}").update(recordedMs);
    teamHistogramOf(name + "{team=\"" + team + "\"," + classLabel + "}").update(recordedMs);
  }

  /** Records a duration for a label value. Negative values count as 0. */
  public void recordLabelledDuration(String name, String label, String value, long valueMs) {
    histogramOf(name + "{" + label + "=\"" + value + "\"}").update(Math.max(0, valueMs));
  }

  /** Registers a gauge, which is read on each request for the metrics. */
  public void registerGauge(String name, Gauge<Number> value) {
    registry.gauge(name, () -> value);
  }

  /** Returns all metrics as text, one name and value per line, sorted by name. */
  public String toText() {
    Map<String, String> lines = new TreeMap<>();
    registry.getCounters().forEach((name, c) -> lines.put(name, String.valueOf(c.getCount())));
    registry.getGauges().forEach((name, g) -> lines.put(name, String.valueOf(g.getValue())));
    registry.getHistograms().forEach((name, h) -> addQuantiles(lines, name, h));
    StringBuilder text = new StringBuilder();
    lines.forEach((name, value) -> text.append(name).append(' ').append(value).append('\n'));
    return text.toString();
  }

  private Histogram histogramOf(String name) {
    return registry.histogram(name, DaemonMetrics::newHistogram);
  }

  /** Returns the histogram of a team, creating it and evicting another one if necessary. */
  private Histogram teamHistogramOf(String name) {
    synchronized (teamHistograms) {
      Histogram existing = teamHistograms.get(name);
      if (existing != null) {
        return existing;
      }
      if (teamHistograms.size() >= MAX_TEAM_SERIES) {
        String leastRecentlyUsed = teamHistograms.keySet().iterator().next();
        teamHistograms.remove(leastRecentlyUsed);
        registry.remove(leastRecentlyUsed);
        increment("metrics_evicted_series");
      }
      Histogram created = registry.histogram(name, DaemonMetrics::newHistogram);
      teamHistograms.put(name, created);
      return created;
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
