package io.magnoliaroute.daemon.lifecycle;

/**
 * The result of a graceful shutdown.
 *
 * @param abortedRequests the number of requests still running at the time limit
 * @param unloggedRecords the number of records not yet written to the log at the time limit
 */
public record StopReport(int abortedRequests, int unloggedRecords) {

  /** The exit code of a shutdown that completed all requests and logged all records. */
  public static final int EXIT_OK = 0;

  /** The exit code of a shutdown that left running requests or unlogged records. */
  public static final int EXIT_INCOMPLETE = 3;

  /** Returns the exit code of the process. */
  public int exitCode() {
    return abortedRequests == 0 && unloggedRecords == 0 ? EXIT_OK : EXIT_INCOMPLETE;
  }
}
