package io.magnoliaroute.daemon.platform;

/** The assumed retention of the platform's log. */
public final class LogRetention {

  /**
   * The retention on which snapshot schedules are based, in milliseconds. On a log with a longer
   * retention, snapshots are only written more often than needed.
   */
  public static final long RETENTION_MS = 6L * 3_600_000;

  private LogRetention() {}
}
