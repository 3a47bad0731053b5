package io.magnoliaroute.bench.policy;

/** Outcome of a simulated program. */
enum ProgramOutcome {
  /** All turns were completed. */
  FINISHED,
  /** The program was accepted, but its caller timed out before the last turn was complete. */
  LEFT,
  /** Admission refused every offer of the program until its caller timed out. */
  REFUSED
}
