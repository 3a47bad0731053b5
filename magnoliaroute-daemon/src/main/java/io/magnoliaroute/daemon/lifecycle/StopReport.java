package io.magnoliaroute.daemon.lifecycle;

/**
 * The result of a planned stop.
 *
 * @param cutRequests requests that were still running at the hard limit
 * @param unloggedRecords records that the log had not taken at the hard limit
 */
public record StopReport(int cutRequests, int unloggedRecords) {

  /** The exit code of a stop that cut off nothing. */
  public static final int EXIT_OK = 0;

  /** The exit code of a stop that reached its hard limit. */
  public static final int EXIT_CUT = 3;

  /** Returns the exit code of the process. */
  public int exitCode() {
    return cutRequests == 0 && unloggedRecords == 0 ? EXIT_OK : EXIT_CUT;
  }
}
