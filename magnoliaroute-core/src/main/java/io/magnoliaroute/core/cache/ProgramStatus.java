package io.magnoliaroute.core.cache;

/** What a partition owner says of a program. */
public enum ProgramStatus {
  /** The program may make further calls. */
  LIVE,
  /** The program has ended, was cancelled or has lapsed. */
  ENDED
}
