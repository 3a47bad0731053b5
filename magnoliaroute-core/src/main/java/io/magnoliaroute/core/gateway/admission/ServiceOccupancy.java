package io.magnoliaroute.core.gateway.admission;

/** Estimates how busy the endpoints of a service are. */
public interface ServiceOccupancy {

  /** Returns the estimated occupancy of the service's endpoints. */
  Occupancy occupancy(String service, long nowMs);

  /**
   * The estimated occupancy of a service. The counts cover the endpoints whose load is known,
   * weighted by how recent the knowledge is.
   *
   * @param running number of running requests
   * @param queued number of requests in the endpoints' queues
   * @param slots number of requests that the same endpoints run concurrently
   * @param reports sum of the weights, each from 0 to 1
   * @param endpoints number of usable endpoints
   */
  record Occupancy(double running, double queued, double slots, double reports, int endpoints) {

    /**
     * Weight of the reports from which on the service may count as short of capacity. A single
     * engine with a queue beside idle ones is no shortage.
     */
    static final double MIN_REPORTS = 2;

    /** The same for services with few endpoints, as a share of these. */
    static final double MIN_REPORTED_SHARE = 0.5;

    /**
     * Share of the free places that queued requests could have used. The others are at engines that
     * have not cached the prompts, or are free for a moment only. A higher share detects shortages
     * only after programs have become late.
     */
    static final double USABLE_FREE_SHARE = 0.2;

    /** Returns whether enough recent reports are known to refuse requests. */
    public boolean isKnown() {
      return slots > 0 && reports >= Math.min(MIN_REPORTS, MIN_REPORTED_SHARE * endpoints);
    }

    /** Returns the number of running and queued requests per slot. */
    public double load() {
      return slots > 0 ? (running + queued) / slots : 0;
    }

    /**
     * Returns the estimated time that a request waits for a slot because places are short; queues
     * at some endpoints beside free places at others are not counted.
     *
     * @param meanMs the average request duration, which includes the time in the endpoint's queue
     */
    public double waitMs(double meanMs) {
      double unplaced = queued - USABLE_FREE_SHARE * Math.max(0, slots - running);
      // By Little's law the time in the queue is to the whole duration as the queued requests are
      // to all.
      return unplaced <= 0 ? 0 : meanMs * unplaced / (running + queued);
    }

    /** Returns the estimated number of requests that the service can take without a queue. */
    public int freePlaces() {
      double share = reports > 0 ? endpoints / reports : 0;
      return (int) Math.max(0, (slots - running - queued) * share);
    }
  }
}
