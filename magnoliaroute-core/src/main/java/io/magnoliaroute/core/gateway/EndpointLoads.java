package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import java.util.HashMap;
import java.util.Map;

/**
 * What this VM has seen of the endpoints' load and health: its own open requests, the load that
 * answers report, and failed connections. Used on one event loop.
 */
public final class EndpointLoads {

  /** A report of other VMs' requests is believed less and less until it is this old. */
  static final long REPORT_LIFE_MS = 1_000;

  /** The first pause before a lost endpoint is probed; later pauses grow. */
  static final long FIRST_PROBE_MS = 250;

  /** The longest pause before a lost endpoint is probed. */
  static final long MAX_PROBE_MS = 1_000;

  private static final double NORMAL_PACE = 1.0;
  private static final int MAX_DOUBLINGS = 3;

  private final Map<EndpointId, Load> loads = new HashMap<>();

  private static final class Load {
    private int open;
    private int othersAtReport;
    private double pace = NORMAL_PACE;
    private long reportedAtMs = Long.MIN_VALUE / 2;
    private int failures;
    private boolean lost;
    private boolean doubted;
    private long probeAtMs;
    private long fullUntilMs = Long.MIN_VALUE;
  }

  /**
   * A load report of an endpoint.
   *
   * @param running requests that it runs
   * @param waiting requests that wait there
   * @param slots requests that it can run at once
   * @param pace how long work takes there at this moment, as a multiple of the usual time
   */
  public record Report(int running, int waiting, int slots, double pace) {}

  /** Notes that a request goes to the endpoint. */
  public void opened(EndpointId endpoint) {
    load(endpoint).open++;
  }

  /** Notes that a request at the endpoint has ended. */
  public void closed(EndpointId endpoint) {
    Load load = load(endpoint);
    load.open = Math.max(0, load.open - 1);
  }

  /** Takes a load report. */
  public void reported(EndpointId endpoint, Report report, long nowMs) {
    Load load = load(endpoint);
    load.othersAtReport = Math.max(0, report.running() + report.waiting() - load.open);
    load.pace = Math.max(0.1, report.pace());
    load.reportedAtMs = nowMs;
  }

  /** Notes an answer: the endpoint lives. */
  public void answered(EndpointId endpoint) {
    Load load = load(endpoint);
    load.failures = 0;
    load.lost = false;
    load.doubted = false;
  }

  /**
   * Notes that the endpoint accepts no connection: it gets no requests until a probe succeeds.
   * Returns whether that is news.
   */
  public boolean lost(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    boolean news = !load.lost;
    long pauseMs = FIRST_PROBE_MS << Math.min(load.failures, MAX_DOUBLINGS);
    load.failures++;
    load.lost = true;
    load.doubted = false;
    load.probeAtMs = nowMs + Math.min(MAX_PROBE_MS, pauseMs);
    return news;
  }

  /**
   * Notes that a probe of the endpoint is under way because another one of its data centre was
   * lost; its end is told by {@link #answered} or {@link #lost}.
   */
  public void doubted(EndpointId endpoint) {
    load(endpoint).doubted = true;
  }

  /** Returns whether the endpoint may be lost too; a probe will tell. */
  public boolean isDoubted(EndpointId endpoint) {
    return load(endpoint).doubted;
  }

  /** Returns whether the endpoint is lost and has to be probed now. */
  public boolean isProbeDue(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    return load.lost && nowMs >= load.probeAtMs;
  }

  /** Notes that the endpoint refused a request because it is full. */
  public void full(EndpointId endpoint, long untilMs) {
    load(endpoint).fullUntilMs = untilMs;
  }

  /** Returns whether the endpoint should get no request now. */
  public boolean isLost(EndpointId endpoint) {
    return load(endpoint).lost;
  }

  /** Returns whether the endpoint refused a request lately because it is full. */
  public boolean isFull(EndpointId endpoint, long nowMs) {
    return nowMs < load(endpoint).fullUntilMs;
  }

  /** Returns this VM's own open requests at the endpoint. */
  public int open(EndpointId endpoint) {
    return load(endpoint).open;
  }

  /** Returns the requests that probably run or wait at the endpoint, from all VMs. */
  public double busy(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    return load.open + load.othersAtReport * belief(load, nowMs);
  }

  /** Returns how long work probably takes at the endpoint, as a multiple of the usual time. */
  public double pace(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    return NORMAL_PACE + (load.pace - NORMAL_PACE) * belief(load, nowMs);
  }

  /** Forgets an endpoint. */
  public void forget(EndpointId endpoint) {
    loads.remove(endpoint);
  }

  private static double belief(Load load, long nowMs) {
    long ageMs = nowMs - load.reportedAtMs;
    return Math.max(0.0, 1.0 - (double) ageMs / REPORT_LIFE_MS);
  }

  private Load load(EndpointId endpoint) {
    return loads.computeIfAbsent(endpoint, id -> new Load());
  }
}
