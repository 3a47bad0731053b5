package io.magnoliaroute.core.retry;

/** Whether a program may make its next call. */
public enum LoopVerdict {
  /** The call is within the limits. */
  CONTINUE,
  /** The program has reached the team's limit on turns. */
  TURN_LIMIT,
  /** The program has reached the team's limit on tokens. */
  TOKEN_LIMIT,
  /** The program repeats a call or a short cycle of calls. */
  REPETITION;

  /** Returns whether the program must be stopped. */
  public boolean mustStopProgram() {
    return this != CONTINUE;
  }
}
