package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Tracks the load and health of endpoints as observed by this VM: its own open requests, the load
 * reported in responses, and failed connections. Not thread-safe; confined to one event loop.
 */
public final class EndpointLoadTracker {

  /** Age at which a load report loses all weight; the weight decreases linearly until then. */
  static final long REPORT_MAX_AGE_MS = 1_000;

  /** Delay before the first probe of an unreachable endpoint; doubles with each failure. */
  static final long INITIAL_PROBE_DELAY_MS = 250;

  /** Maximum delay before a probe of an unreachable endpoint. */
  static final long MAX_PROBE_DELAY_MS = 1_000;

  /** Age at which outcomes observed by other VMs are ignored. */
  static final long SHARED_MAX_AGE_MS = 1_500;

  /** Half-life of the weight of successful responses. */
  static final long SUCCESS_HALF_LIFE_MS = 2_000;

  /**
   * Half-life of the weight of failures. Longer than that of successful responses, so that a broken
   * endpoint is retried less often.
   */
  static final long FAILURE_HALF_LIFE_MS = 4_000;

  /**
   * Failure rate without effect on the endpoint choice: healthy endpoints fail single requests too.
   */
  static final double TOLERATED_FAILURE_RATE = 0.2;

  /**
   * Number of assumed successful responses that is added to the observed ones, so that an endpoint
   * counts as healthy until several failures outweigh them.
   */
  static final double ASSUMED_SUCCESSES = 3;

  private static final double NO_SLOWDOWN = 1.0;
  private static final int MAX_DOUBLINGS = 3;

  /**
   * Minimum weight of failures that is shared with other VMs. A single failure falls below it after
   * two half-lives, which is 8 s.
   */
  private static final double MIN_SHARED_FAILURES = 0.25;

  private final Map<EndpointId, Load> loads = new HashMap<>();

  private static final class Load {
    private int openRequests;
    private int remoteRequestsAtReport;
    private double slowdown = NO_SLOWDOWN;
    private long reportedAtMs = Long.MIN_VALUE / 2;
    private int connectFailures;
    private boolean unreachable;
    private boolean suspect;
    private long probeAtMs;
    private long fullUntilMs = Long.MIN_VALUE;
    private double answered;
    private double failed;
    private long outcomeAtMs;
    private EndpointOutcomes sharedOutcomes;
    private EndpointOutcomes lastSentOutcomes;
    private long sharedAtMs = Long.MIN_VALUE / 2;

    private void decay(long nowMs) {
      double ageMs = nowMs - outcomeAtMs;
      answered *= Math.pow(0.5, ageMs / SUCCESS_HALF_LIFE_MS);
      failed *= Math.pow(0.5, ageMs / FAILURE_HALF_LIFE_MS);
      outcomeAtMs = nowMs;
    }

    /** Returns the weight of the outcomes that only other VMs have observed. */
    private double remoteWeight(ToDoubleFunction<EndpointOutcomes> weight, long nowMs) {
      if (sharedOutcomes == null || nowMs - sharedAtMs >= SHARED_MAX_AGE_MS) {
        return 0;
      }
      double own = lastSentOutcomes == null ? 0 : weight.applyAsDouble(lastSentOutcomes);
      return Math.max(0, weight.applyAsDouble(sharedOutcomes) - own);
    }
  }

  /**
   * A load report of an endpoint.
   *
   * @param running number of running requests
   * @param waiting number of queued requests
   * @param slots number of requests that the endpoint can run concurrently
   * @param slowdown current processing time as a multiple of the usual time
   */
  public record Report(int running, int waiting, int slots, double slowdown) {}

  /** Increments the number of this VM's open requests at the endpoint. */
  public void recordRequestStart(EndpointId endpoint) {
    load(endpoint).openRequests++;
  }

  /** Decrements the number of this VM's open requests at the endpoint. */
  public void recordRequestEnd(EndpointId endpoint) {
    Load load = load(endpoint);
    load.openRequests = Math.max(0, load.openRequests - 1);
  }

  /** Records a load report. */
  public void recordReport(EndpointId endpoint, Report report, long nowMs) {
    Load load = load(endpoint);
    load.remoteRequestsAtReport =
        Math.max(0, report.running() + report.waiting() - load.openRequests);
    load.slowdown = Math.max(0.1, report.slowdown());
    load.reportedAtMs = nowMs;
  }

  /** Marks the endpoint as reachable because it answered. */
  public void markReachable(EndpointId endpoint) {
    Load load = load(endpoint);
    load.connectFailures = 0;
    load.unreachable = false;
    load.suspect = false;
  }

  /**
   * Marks the endpoint as unreachable because it accepts no connections, and returns whether it was
   * considered reachable before. It should receive no requests until a probe succeeds.
   */
  public boolean markUnreachable(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    boolean wasReachable = !load.unreachable;
    long delayMs = INITIAL_PROBE_DELAY_MS << Math.min(load.connectFailures, MAX_DOUBLINGS);
    load.connectFailures++;
    load.unreachable = true;
    load.suspect = false;
    load.probeAtMs = nowMs + Math.min(MAX_PROBE_DELAY_MS, delayMs);
    return wasReachable;
  }

  /**
   * Marks the endpoint as suspect while it is probed because another endpoint of its data centre
   * became unreachable. {@link #markReachable} or {@link #markUnreachable} ends this state.
   */
  public void markSuspect(EndpointId endpoint) {
    load(endpoint).suspect = true;
  }

  /** Returns whether the endpoint is suspect: it may be unreachable and a probe is pending. */
  public boolean isSuspect(EndpointId endpoint) {
    return load(endpoint).suspect;
  }

  /** Returns whether the endpoint is unreachable and its next probe is due. */
  public boolean isProbeDue(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    return load.unreachable && nowMs >= load.probeAtMs;
  }

  /** Marks the endpoint as full until the given time because it refused a request. */
  public void markFull(EndpointId endpoint, long untilMs) {
    load(endpoint).fullUntilMs = untilMs;
  }

  /** Returns whether the endpoint is unreachable and should receive no requests. */
  public boolean isUnreachable(EndpointId endpoint) {
    return load(endpoint).unreachable;
  }

  /** Returns whether the endpoint is marked as full after a recent refusal. */
  public boolean isFull(EndpointId endpoint, long nowMs) {
    return nowMs < load(endpoint).fullUntilMs;
  }

  /** Returns the number of this VM's open requests at the endpoint. */
  public int openRequests(EndpointId endpoint) {
    return load(endpoint).openRequests;
  }

  /** Returns the estimated number of running and queued requests of all VMs at the endpoint. */
  public double estimatedRequests(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    return load.openRequests + load.remoteRequestsAtReport * reportWeight(load, nowMs);
  }

  /**
   * Returns the number of requests of other VMs at the time of the endpoint's last report, plus
   * this VM's open requests.
   */
  public double requestsByLastReport(EndpointId endpoint) {
    Load load = load(endpoint);
    return load.openRequests + load.remoteRequestsAtReport;
  }

  /** Returns the weight of the endpoint's last report, from 1 when it arrives to 0. */
  public double reportWeight(EndpointId endpoint, long nowMs) {
    return reportWeight(load(endpoint), nowMs);
  }

  /** Records whether the endpoint answered a request that it ran. */
  public void recordOutcome(EndpointId endpoint, boolean wasAnswered, long nowMs) {
    Load load = load(endpoint);
    load.decay(nowMs);
    load.answered += wasAnswered ? 1 : 0;
    load.failed += wasAnswered ? 0 : 1;
  }

  /** Returns by how much the endpoint's failure rate exceeds the tolerated rate, from 0 to 1. */
  public double excessFailureRate(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    load.decay(nowMs);
    double failed = load.failed + load.remoteWeight(EndpointOutcomes::failed, nowMs);
    double answered = load.answered + load.remoteWeight(EndpointOutcomes::answered, nowMs);
    double total = ASSUMED_SUCCESSES + answered + failed;
    return Math.max(0, failed / total - TOLERATED_FAILURE_RATE);
  }

  /** Returns this VM's outcomes of endpoints that fail requests, for sharing with other VMs. */
  public List<EndpointOutcomes> failingEndpoints(long nowMs) {
    List<EndpointOutcomes> failing = new ArrayList<>();
    for (Map.Entry<EndpointId, Load> entry : loads.entrySet()) {
      Load load = entry.getValue();
      load.decay(nowMs);
      load.lastSentOutcomes = null;
      if (load.failed >= MIN_SHARED_FAILURES) {
        load.lastSentOutcomes = new EndpointOutcomes(entry.getKey(), load.answered, load.failed);
        failing.add(load.lastSentOutcomes);
      }
    }
    return failing;
  }

  /** Applies the aggregated outcomes of all VMs of the data centre, including this one. */
  public void applySharedOutcomes(List<EndpointOutcomes> summary, long nowMs) {
    for (Load load : loads.values()) {
      load.sharedOutcomes = null;
    }
    for (EndpointOutcomes outcomes : summary) {
      Load load = load(outcomes.endpoint());
      load.sharedOutcomes = outcomes;
      load.sharedAtMs = nowMs;
    }
  }

  /** Returns the estimated processing time at the endpoint as a multiple of the usual time. */
  public double slowdown(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    return NO_SLOWDOWN + (load.slowdown - NO_SLOWDOWN) * reportWeight(load, nowMs);
  }

  /** Removes all state of the endpoint. */
  public void remove(EndpointId endpoint) {
    loads.remove(endpoint);
  }

  private static double reportWeight(Load load, long nowMs) {
    long ageMs = nowMs - load.reportedAtMs;
    return Math.max(0.0, 1.0 - (double) ageMs / REPORT_MAX_AGE_MS);
  }

  private Load load(EndpointId endpoint) {
    return loads.computeIfAbsent(endpoint, id -> new Load());
  }
}
