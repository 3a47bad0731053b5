package io.magnoliaroute.core.drain;

/** The phases of the graceful shutdown of a VM, in order. */
public enum ShutdownPhase {
  /** No shutdown was requested. */
  RUNNING,
  /** The VM reports not ready; programs that the load balancer still sends are accepted. */
  NOT_READY,
  /** New programs are refused; running streams complete. */
  STREAMS,
  /** Leases and budget slices are being released. */
  RELEASING,
  /** Buffered records are being appended to the log. */
  FLUSHING,
  /** The shutdown is complete or has timed out, and the process exits. */
  EXITED
}
