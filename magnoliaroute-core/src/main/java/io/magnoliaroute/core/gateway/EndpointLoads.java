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
public final class EndpointLoads {

  /** Age at which a load report loses all weight; the weight decreases linearly until then. */
  static final long REPORT_LIFE_MS = 1_000;

  /** Delay before the first probe of an unreachable endpoint; doubles with each failure. */
  static final long FIRST_PROBE_MS = 250;

  /** Maximum delay before a probe of an unreachable endpoint. */
  static final long MAX_PROBE_MS = 1_000;

  /** Age at which outcomes observed by other VMs are ignored. */
  static final long SHARED_LIFE_MS = 1_500;

  /** Half-life of the weight of successful responses. */
  static final long ANSWER_HALF_LIFE_MS = 2_000;

  /**
   * Half-life of the weight of failures. Longer than that of successful responses, so that a broken
   * endpoint is retried less often.
   */
  static final long FAILURE_HALF_LIFE_MS = 4_000;

  /** Failure rate without effect on the endpoint choice: sound endpoints lose single responses. */
  static final double USUAL_FAILURES = 0.2;

  /**
   * Number of assumed successful responses that is added to the observed ones, so that an endpoint
   * counts as healthy until several failures outweigh them.
   */
  static final double ASSUMED_ANSWERS = 3;

  private static final double NORMAL_PACE = 1.0;
  private static final int MAX_DOUBLINGS = 3;

  /**
   * Minimum weight of failures that is shared with other VMs. A single failure falls below it after
   * two half-lives, which is 8 s.
   */
  private static final double MIN_TOLD = 0.25;

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
    private double answered;
    private double failed;
    private long outcomeAtMs;
    private Outcomes shared;
    private Outcomes told;
    private long sharedAtMs = Long.MIN_VALUE / 2;

    private void decay(long nowMs) {
      double ageMs = nowMs - outcomeAtMs;
      answered *= Math.pow(0.5, ageMs / ANSWER_HALF_LIFE_MS);
      failed *= Math.pow(0.5, ageMs / FAILURE_HALF_LIFE_MS);
      outcomeAtMs = nowMs;
    }

    /** Returns the weight of the outcomes that only other VMs have observed. */
    private double others(ToDoubleFunction<Outcomes> weight, long nowMs) {
      if (shared == null || nowMs - sharedAtMs >= SHARED_LIFE_MS) {
        return 0;
      }
      double own = told == null ? 0 : weight.applyAsDouble(told);
      return Math.max(0, weight.applyAsDouble(shared) - own);
    }
  }

  /**
   * A load report of an endpoint.
   *
   * @param running number of running requests
   * @param waiting number of queued requests
   * @param slots number of requests that the endpoint can run concurrently
   * @param pace current processing time as a multiple of the usual time
   */
  public record Report(int running, int waiting, int slots, double pace) {}

  /** Increments the number of this VM's open requests at the endpoint. */
  public void opened(EndpointId endpoint) {
    load(endpoint).open++;
  }

  /** Decrements the number of this VM's open requests at the endpoint. */
  public void closed(EndpointId endpoint) {
    Load load = load(endpoint);
    load.open = Math.max(0, load.open - 1);
  }

  /** Records a load report. */
  public void reported(EndpointId endpoint, Report report, long nowMs) {
    Load load = load(endpoint);
    load.othersAtReport = Math.max(0, report.running() + report.waiting() - load.open);
    load.pace = Math.max(0.1, report.pace());
    load.reportedAtMs = nowMs;
  }

  /** Marks the endpoint as reachable because it answered. */
  public void answered(EndpointId endpoint) {
    Load load = load(endpoint);
    load.failures = 0;
    load.lost = false;
    load.doubted = false;
  }

  /**
   * Marks the endpoint as unreachable because it accepts no connections, and returns whether it was
   * considered reachable before. It should receive no requests until a probe succeeds.
   */
  public boolean lost(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    boolean wasReachable = !load.lost;
    long delayMs = FIRST_PROBE_MS << Math.min(load.failures, MAX_DOUBLINGS);
    load.failures++;
    load.lost = true;
    load.doubted = false;
    load.probeAtMs = nowMs + Math.min(MAX_PROBE_MS, delayMs);
    return wasReachable;
  }

  /**
   * Marks the endpoint as suspect while it is probed because another endpoint of its data centre
   * became unreachable. {@link #answered} or {@link #lost} ends this state.
   */
  public void doubted(EndpointId endpoint) {
    load(endpoint).doubted = true;
  }

  /** Returns whether the endpoint is suspect: it may be unreachable and a probe is pending. */
  public boolean isDoubted(EndpointId endpoint) {
    return load(endpoint).doubted;
  }

  /** Returns whether the endpoint is unreachable and its next probe is due. */
  public boolean isProbeDue(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    return load.lost && nowMs >= load.probeAtMs;
  }

  /** Marks the endpoint as full until the given time because it refused a request. */
  public void full(EndpointId endpoint, long untilMs) {
    load(endpoint).fullUntilMs = untilMs;
  }

  /** Returns whether the endpoint is unreachable and should receive no requests. */
  public boolean isLost(EndpointId endpoint) {
    return load(endpoint).lost;
  }

  /** Returns whether the endpoint is marked as full after a recent refusal. */
  public boolean isFull(EndpointId endpoint, long nowMs) {
    return nowMs < load(endpoint).fullUntilMs;
  }

  /** Returns the number of this VM's open requests at the endpoint. */
  public int open(EndpointId endpoint) {
    return load(endpoint).open;
  }

  /** Returns the estimated number of requests of all VMs that run or wait at the endpoint. */
  public double busy(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    return load.open + load.othersAtReport * belief(load, nowMs);
  }

  /** Records whether the endpoint answered a request that it ran. */
  public void ran(EndpointId endpoint, boolean wasAnswered, long nowMs) {
    Load load = load(endpoint);
    load.decay(nowMs);
    load.answered += wasAnswered ? 1 : 0;
    load.failed += wasAnswered ? 0 : 1;
  }

  /** Returns by how much the endpoint's failure rate exceeds the tolerated rate, from 0 to 1. */
  public double excessFailures(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    load.decay(nowMs);
    double failed = load.failed + load.others(Outcomes::failed, nowMs);
    double answered = load.answered + load.others(Outcomes::answered, nowMs);
    double total = ASSUMED_ANSWERS + answered + failed;
    return Math.max(0, failed / total - USUAL_FAILURES);
  }

  /** Returns this VM's outcomes of endpoints that fail requests, for sharing with other VMs. */
  public List<Outcomes> failing(long nowMs) {
    List<Outcomes> failing = new ArrayList<>();
    for (Map.Entry<EndpointId, Load> each : loads.entrySet()) {
      Load load = each.getValue();
      load.decay(nowMs);
      load.told = null;
      if (load.failed >= MIN_TOLD) {
        load.told = new Outcomes(each.getKey(), load.answered, load.failed);
        failing.add(load.told);
      }
    }
    return failing;
  }

  /** Applies the aggregated outcomes of all VMs of the data centre, including this one. */
  public void shared(List<Outcomes> summary, long nowMs) {
    for (Load load : loads.values()) {
      load.shared = null;
    }
    for (Outcomes each : summary) {
      Load load = load(each.endpoint());
      load.shared = each;
      load.sharedAtMs = nowMs;
    }
  }

  /** Returns the estimated processing time at the endpoint as a multiple of the usual time. */
  public double pace(EndpointId endpoint, long nowMs) {
    Load load = load(endpoint);
    return NORMAL_PACE + (load.pace - NORMAL_PACE) * belief(load, nowMs);
  }

  /** Removes all state of the endpoint. */
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
