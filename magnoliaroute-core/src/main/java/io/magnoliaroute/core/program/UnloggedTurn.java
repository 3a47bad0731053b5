package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.ProgramId;

/**
 * A completed turn that has not been read back from the log.
 *
 * @param partition the partition of the program
 * @param program the program
 * @param turn the completed turn
 */
public record UnloggedTurn(int partition, ProgramId program, Turn turn) {}
