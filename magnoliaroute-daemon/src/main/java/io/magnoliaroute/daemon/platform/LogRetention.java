package io.magnoliaroute.daemon.platform;

/** How long the platform's log keeps records. */
public final class LogRetention {

  /**
   * The retention that snapshots are timed by. A log that keeps records for longer only gets
   * snapshots more often than needed.
   */
  public static final long RETENTION_MS = 6L * 3_600_000;

  private LogRetention() {}
}
