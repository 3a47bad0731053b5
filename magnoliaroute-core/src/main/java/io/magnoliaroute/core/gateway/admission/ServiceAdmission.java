package io.magnoliaroute.core.gateway.admission;

import io.magnoliaroute.core.gateway.ServiceTimeAverages;
import io.magnoliaroute.core.gateway.admission.AdmissionVerdict.Kind;
import io.magnoliaroute.core.gateway.admission.ServiceOccupancy.Occupancy;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a request is served now, waits, or is refused, from the estimated time that it
 * would wait for a slot of its service.
 *
 * <p>While that time is short, every request is served. Beyond it, new programs are admitted with a
 * probability that decreases to 0, so that VMs with equal and outdated views together admit about
 * as many as the service can take. Requests of started programs are not refused unless they cannot
 * end by their deadline; they wait for requests of a higher rank. Not thread-safe.
 */
public final class ServiceAdmission {

  /**
   * Wait for a slot, as a share of the time to the target latency, up to which all requests are
   * served. Full batches without queues are no shortage.
   */
  static final double SERVE_ALL_SHARE = 0.125;

  /**
   * The same share from which on no new program is admitted; the rest remains for the prompt, the
   * path and endpoints that are slower than the average.
   */
  static final double ADMIT_NONE_SHARE = 0.4;

  /**
   * Requests per slot up to which a service that was short of capacity admits programs again that
   * can no longer end by their target. Above it, they would take places that programs in time need.
   */
  static final double RELIEF_LOAD = 0.5;

  /** The same share from which on lower ranks are not served at all. */
  static final double RANK_LIMIT_SHARE = 1.0;

  /**
   * Share of the target latency that remains at least for the wait, however long the request itself
   * takes.
   */
  static final double MIN_ROOM_SHARE = 0.25;

  /**
   * Time that a new program may wait, as a share of the target latency. With the interval at which
   * waiting requests are examined, it is refused within a quarter of the target latency.
   */
  static final double NEW_WAIT_SHARE = 0.125;

  /**
   * Factor by which the estimated wait must exceed the time to the deadline before a request counts
   * as one that cannot end: the estimate may be twice the truth.
   */
  static final double CERTAIN_LATENESS = 2;

  /** Shortest {@code Retry-After}; the age of what a VM knows of the endpoints. */
  static final long MIN_RETRY_MS = 100;

  /** Clients wait at most this fraction of the time to their deadline. */
  static final int CLIENT_WAIT_DIVISOR = 3;

  private final ServiceOccupancy occupancy;
  private final ServiceTimeAverages serviceTimes;
  private final ProgramPace pace = new ProgramPace();
  private final Map<String, ServiceDemand> demands = new HashMap<>();

  /** Creates a decision that uses the given estimates. */
  public ServiceAdmission(ServiceOccupancy occupancy, ServiceTimeAverages serviceTimes) {
    this.occupancy = occupancy;
    this.serviceTimes = serviceTimes;
  }

  /** Records the arrival of a request; called once before its first decision. */
  public void recordArrival(AdmissionRequest request, long nowMs) {
    demand(request.service()).recordArrival(request, nowMs);
  }

  /** Decides on a request that has arrived or is waiting. */
  public AdmissionVerdict decide(AdmissionRequest request, long nowMs) {
    Occupancy occupied = occupancy.occupancy(request.service(), nowMs);
    ServiceDemand demand = demand(request.service());
    double queueMs = occupied.waitMs(serviceTimes.meanMs(request.service()));
    double depth = queueMs / roomMs(request);
    boolean full = occupied.isKnown() && depth > SERVE_ALL_SHARE;
    boolean isShort =
        demand.updateShortage(full, occupied.isKnown() && occupied.load() > RELIEF_LOAD, nowMs);
    double probability = isShort ? probability(request, depth, nowMs) : 1;
    if (!isShort && request.isNew()) {
      pace.recordStart(request, nowMs);
    }
    boolean late = full && queueMs > CERTAIN_LATENESS * leftMs(request, nowMs);
    Kind kind = late ? Kind.REFUSE_LATE : kind(request, probability, nowMs);
    boolean refused = kind == Kind.REFUSE || kind == Kind.REFUSE_LATE;
    if (refused && request.isNew()) {
      demand.recordRefusal(nowMs);
    }
    return new AdmissionVerdict(
        kind,
        kind == Kind.WAIT ? waitUntilMs(request) : 0,
        refused ? retryAfterMs(request, queueMs, nowMs) : 0,
        occupied.load(),
        queueMs,
        probability);
  }

  /** Returns how many waiting requests may be dispatched at once, at least one. */
  public int dispatchLimit(String service, long nowMs) {
    Occupancy occupied = occupancy.occupancy(service, nowMs);
    return occupied.isKnown() ? Math.max(1, occupied.freePlaces()) : Integer.MAX_VALUE;
  }

  private static Kind kind(AdmissionRequest request, double probability, long nowMs) {
    if (probability >= 1 || request.draw() < probability) {
      return Kind.SERVE;
    }
    boolean mayWait = nowMs < waitUntilMs(request);
    if (!request.isNew()) {
      // A refusal would lose the turns that the program has had.
      return mayWait ? Kind.WAIT : Kind.SERVE;
    }
    return mayWait && probability > 0 ? Kind.WAIT : Kind.REFUSE;
  }

  private double probability(AdmissionRequest request, double depth, long nowMs) {
    ServiceDemand demand = demand(request.service());
    if (!request.isNew()) {
      boolean yields = demand.hasHigherRank(request.rank(), nowMs);
      return yields ? decreasing(depth, ADMIT_NONE_SHARE, RANK_LIMIT_SHARE) : 1;
    }
    if (!pace.isInTime(request, nowMs)) {
      return 0;
    }
    double average =
        demand.hasLowerRank(request.rank(), nowMs)
            ? decreasing(depth, ADMIT_NONE_SHARE, RANK_LIMIT_SHARE)
            : decreasing(depth, SERVE_ALL_SHARE, ADMIT_NONE_SHARE);
    return average >= 1
        ? 1
        : Math.min(1, average * demand.fairnessFactor(request.workspace(), nowMs));
  }

  private static double decreasing(double depth, double from, double to) {
    return Math.max(0, Math.min(1, (to - depth) / (to - from)));
  }

  private static double roomMs(AdmissionRequest request) {
    double minRoomMs = MIN_ROOM_SHARE * request.targetLatencyMs();
    return Math.max(1, Math.max(minRoomMs, request.targetLatencyMs() - request.ownMs()));
  }

  private static double leftMs(AdmissionRequest request, long nowMs) {
    return (double) (request.deadlineMs() - nowMs);
  }

  private static long waitUntilMs(AdmissionRequest request) {
    double timeMs = (double) (request.deadlineMs() - request.arrivedMs());
    double maxWaitMs =
        request.isNew()
            ? Math.min(NEW_WAIT_SHARE * request.targetLatencyMs(), timeMs)
            : timeMs / CLIENT_WAIT_DIVISOR;
    return request.arrivedMs() + (long) maxWaitMs;
  }

  /**
   * Returns the time in which the queue drains, and beyond it a part of the time in which the
   * refused requests can be served, drawn for each request so that they do not return together.
   */
  private long retryAfterMs(AdmissionRequest request, double queueMs, long nowMs) {
    double drainMs = Math.max(MIN_RETRY_MS, queueMs - SERVE_ALL_SHARE * roomMs(request));
    double refusedShare = demand(request.service()).refusedShare(nowMs);
    double spreadMs = ServiceDemand.HALF_LIFE_MS * refusedShare;
    double clientMs = leftMs(request, nowMs) / CLIENT_WAIT_DIVISOR;
    // Clients that are told to wait longer than they can return all after that time, so that the
    // spread has to lie within it.
    double latestMs = Math.max(2.0 * MIN_RETRY_MS, Math.min(clientMs, drainMs + spreadMs));
    double earliestMs = Math.min(drainMs, latestMs / 2);
    return (long) (earliestMs + spread(request) * (latestMs - earliestMs));
  }

  // The draw of refused requests exceeds the probability, so it is not evenly distributed; its
  // lower digits are.
  private static double spread(AdmissionRequest request) {
    double scaled = request.draw() * 1_024;
    return scaled - Math.floor(scaled);
  }

  private ServiceDemand demand(String service) {
    return demands.computeIfAbsent(service, any -> new ServiceDemand());
  }
}
