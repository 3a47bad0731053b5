package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.WriterId;

/**
 * The current claim on a partition.
 *
 * @param owner the writer that holds the claim: a VM and its incarnation
 * @param epoch the epoch of the claim
 * @param offset the offset of the claim record
 */
public record ClaimView(WriterId owner, long epoch, long offset) {}
