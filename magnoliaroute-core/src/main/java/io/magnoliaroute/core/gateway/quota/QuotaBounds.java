package io.magnoliaroute.core.gateway.quota;

/**
 * By how much the requests of a workspace may exceed its quota in any time window of the given
 * length.
 *
 * @param windowMs the length of the window
 * @param tolerance the tolerated excess as a share of the quota
 * @param slackRequests the tolerated excess in requests, beside the share
 */
public record QuotaBounds(long windowMs, double tolerance, double slackRequests) {

  /** The bounds that the platform sets unless its settings name others. */
  public static final QuotaBounds DEFAULT = new QuotaBounds(5_000, 0.1, 20);
}
