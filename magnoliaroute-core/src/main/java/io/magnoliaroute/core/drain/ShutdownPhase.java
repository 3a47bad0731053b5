package io.magnoliaroute.core.drain;

/** How far the planned stop of a VM has come, in order. */
public enum ShutdownPhase {
  /** No stop was asked for. */
  RUNNING,
  /** Reported as not ready; the balancer may still send programs, which are accepted. */
  NOT_READY,
  /** No new programs; streams finish. */
  STREAMS,
  /** Leases and budget slices are released. */
  RELEASING,
  /** Records that wait for the log are appended. */
  FLUSHING,
  /** The process exits. */
  EXITED
}
