package io.magnoliaroute.standin.service;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults that tests inject into a {@link StandinService} while it runs. */
public final class ServiceFaults {

  private final AtomicInteger responsesToLose = new AtomicInteger();
  private final AtomicInteger operationsToRefuse = new AtomicInteger();
  private volatile long delayMs;
  private volatile boolean hung;

  /** Makes the next operations take effect and close the connection without a response. */
  public void loseNextResponses(int count) {
    responsesToLose.set(count);
  }

  /** Makes the next operations fail with status 503 without taking effect. */
  public void refuseNextOperations(int count) {
    operationsToRefuse.set(count);
  }

  /** Sets the delay before each operation takes effect. */
  public void setDelayMs(long delayMs) {
    this.delayMs = delayMs;
  }

  /** Sets whether operations hang: they take effect but never send a response. */
  public void setHung(boolean hung) {
    this.hung = hung;
  }

  long delayMs() {
    return delayMs;
  }

  boolean hung() {
    return hung;
  }

  boolean consumeLostResponse() {
    return responsesToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
  }

  boolean consumeRefusal() {
    return operationsToRefuse.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
  }
}
