package io.magnoliaroute.bench.policy;

/** How a program of a run ended. */
enum ProgramEnding {
  /** The caller got the whole answer. */
  FINISHED,
  /** The program was accepted, and its caller left before the answer was complete. */
  LEFT,
  /** No offer of the program was accepted while its caller waited. */
  REFUSED
}
