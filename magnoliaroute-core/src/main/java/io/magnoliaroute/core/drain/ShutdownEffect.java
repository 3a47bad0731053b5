package io.magnoliaroute.core.drain;

/** An action of the daemon during a graceful shutdown. */
public sealed interface ShutdownEffect {

  /** Fail the readiness check and mark this VM as leaving in the membership. */
  record ReportNotReady() implements ShutdownEffect {}

  /** Refuse new programs as not run; calls of programs already running here are still served. */
  record RefuseNewPrograms() implements ShutdownEffect {}

  /** Release the remaining leases and budget slices. */
  record ReleaseLeasesAndSlices() implements ShutdownEffect {}

  /** Append the buffered records without waiting for further ones. */
  record FlushLog() implements ShutdownEffect {}

  /**
   * Notify peers that this VM has stopped, and exit.
   *
   * @param exitCode 0, or 3 if work was abandoned
   * @param abandonedWork the abandoned work; empty with exit code 0
   */
  record Exit(int exitCode, PendingWork abandonedWork) implements ShutdownEffect {}
}
