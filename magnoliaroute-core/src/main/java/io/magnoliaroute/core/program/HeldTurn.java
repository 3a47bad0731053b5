package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.ProgramId;

/**
 * A turn that is not known to be logged.
 *
 * @param partition the partition of the program
 * @param program the program
 * @param turn the turn
 */
public record HeldTurn(int partition, ProgramId program, Turn turn) {}
