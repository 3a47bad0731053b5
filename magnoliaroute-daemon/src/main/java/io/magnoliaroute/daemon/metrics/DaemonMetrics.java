package io.magnoliaroute.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.TeamId;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/** The counters and histograms of this VM, with the text form of {@code /metrics}. */
public final class DaemonMetrics {

  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final MetricRegistry registry = new MetricRegistry();

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

  /** Records a time for a team and class. */
  public void time(String name, TeamId team, PriorityClass priority, long valueMs) {
    String labels = "{team=\"" + team + "\",class=\"" + priority.wireName() + "\"}";
    histogram(name + labels).update(Math.max(0, valueMs));
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
    return registry.histogram(name, () -> new Histogram(new HdrHistogramReservoir()));
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
