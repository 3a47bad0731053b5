package io.magnoliaroute.core.model;

import java.util.Objects;

/**
 * Identifies one attempt of one call. Responses are matched by all three components, so that a late
 * or misrouted response cannot be delivered to another call.
 *
 * @param program the program the call belongs to
 * @param turn the number of the call within its program, from 0
 * @param attempt the number of the attempt, from 0
 */
public record CallId(ProgramId program, int turn, int attempt) {

  /** Rejects a null program and negative numbers. */
  public CallId {
    Objects.requireNonNull(program, "program");
    if (turn < 0) {
      throw new IllegalArgumentException("turn must not be negative, was " + turn);
    }
    if (attempt < 0) {
      throw new IllegalArgumentException("attempt must not be negative, was " + attempt);
    }
  }

  @Override
  public String toString() {
    return program + "/" + turn + "/" + attempt;
  }
}
