package io.magnoliaroute.standin.service;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults of the plain service, switched by tests while it runs. */
public final class ServiceFaults {

  private final AtomicInteger answersToLose = new AtomicInteger();
  private final AtomicInteger refusals = new AtomicInteger();
  private volatile long delayMs;
  private volatile boolean hung;

  /** Makes the next operations take effect and lose their answer. */
  public void loseNextAnswers(int count) {
    answersToLose.set(count);
  }

  /** Makes the next operations fail with status 503 without effect. */
  public void refuseNext(int count) {
    refusals.set(count);
  }

  /** Delays each operation before it takes effect. */
  public void setDelayMs(long delayMs) {
    this.delayMs = delayMs;
  }

  /** Makes operations take effect and never answer. */
  public void setHung(boolean hung) {
    this.hung = hung;
  }

  long delayMs() {
    return delayMs;
  }

  boolean hung() {
    return hung;
  }

  boolean takeLostAnswer() {
    return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }

  boolean takeRefusal() {
    return refusals.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }
}
