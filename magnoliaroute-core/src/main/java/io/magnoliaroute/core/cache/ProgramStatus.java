package io.magnoliaroute.core.cache;

/** The status of a program as reported by its partition owner. */
public enum ProgramStatus {
  /** The program may make further calls. */
  LIVE,
  /** The program has ended, was cancelled or has expired. */
  ENDED
}
