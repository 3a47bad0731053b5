package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.WriterId;

/**
 * The claim in force.
 *
 * @param owner the run of the VM that holds it
 * @param epoch its epoch
 * @param offset its offset
 */
public record ClaimView(WriterId owner, long epoch, long offset) {}
