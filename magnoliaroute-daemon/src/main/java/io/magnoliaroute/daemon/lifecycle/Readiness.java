package io.magnoliaroute.daemon.lifecycle;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/** The lifecycle phase of this VM and the number of its running requests. */
public final class Readiness {

  /** The lifecycle phases of a VM. */
  public enum Phase {
    /** Settings have not been loaded yet. */
    STARTING,
    /** Requests are accepted. */
    READY,
    /** Running requests are completed; new requests are rejected. */
    STOPPING
  }

  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);
  private final AtomicInteger activeRequestCount = new AtomicInteger();
  private final AtomicLong startedRequestCount = new AtomicLong();

  /** Returns the current phase. */
  public Phase phase() {
    return phase.get();
  }

  /** Changes the phase from starting to ready; has no effect in any other phase. */
  public void markReady() {
    phase.compareAndSet(Phase.STARTING, Phase.READY);
  }

  /** Changes the phase to stopping and returns whether this was the first such call. */
  public boolean markStopping() {
    return phase.getAndSet(Phase.STOPPING) != Phase.STOPPING;
  }

  /** Records the start of a request. */
  public void recordRequestStart() {
    startedRequestCount.incrementAndGet();
    activeRequestCount.incrementAndGet();
  }

  /** Records the end of a request. */
  public void recordRequestEnd() {
    activeRequestCount.decrementAndGet();
  }

  /** Returns the number of requests started since this VM started. */
  public long startedRequestCount() {
    return startedRequestCount.get();
  }

  /** Returns the number of running requests. */
  public int activeRequestCount() {
    return activeRequestCount.get();
  }
}
