package io.magnoliaroute.core.drain;

/** What the daemon does during a planned stop. */
public sealed interface ShutdownEffect {

  /** Answer the readiness check with not ready and mark this VM as leaving in the membership. */
  record ReportNotReady() implements ShutdownEffect {}

  /** Refuse new programs as not run; calls of programs that run here are still served. */
  record RefuseNewPrograms() implements ShutdownEffect {}

  /** Release the leases and budget slices that are left. */
  record ReleaseHoldings() implements ShutdownEffect {}

  /** Append the records that wait without collecting further ones. */
  record FlushLog() implements ShutdownEffect {}

  /**
   * Tell peers that this VM has stopped, and exit.
   *
   * @param exitCode 0, or 3 if something was cut
   * @param cut what was cut; empty with exit code 0
   */
  record Exit(int exitCode, OpenWork cut) implements ShutdownEffect {}
}
