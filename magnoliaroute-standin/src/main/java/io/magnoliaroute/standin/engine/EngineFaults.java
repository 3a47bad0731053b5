package io.magnoliaroute.standin.engine;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults that tests inject into a {@link StandinEngine} while it runs. */
public final class EngineFaults {

  private final AtomicInteger responsesToLose = new AtomicInteger();
  private volatile double slowdown = 1.0;
  private volatile boolean hung;
  private volatile boolean dropsCacheEvents;
  private volatile long cacheEventDelayMs;
  private volatile String crashText = "";

  /** Sets the factor by which the time for each token is multiplied; 1 is normal speed. */
  public void setSlowdown(double slowdown) {
    this.slowdown = slowdown;
  }

  /** Sets whether calls hang: they occupy a slot but never send a response. */
  public void setHung(boolean hung) {
    this.hung = hung;
  }

  /**
   * Makes the next calls generate all tokens and then close the connection without completing the
   * response.
   */
  public void loseNextResponses(int count) {
    responsesToLose.set(count);
  }

  /** Sets whether cache events are dropped, so that only the cache listing is up to date. */
  public void setDropsCacheEvents(boolean dropsCacheEvents) {
    this.dropsCacheEvents = dropsCacheEvents;
  }

  /** Sets the delay with which cache events are published; 0 publishes them immediately. */
  public void setCacheEventDelayMs(long cacheEventDelayMs) {
    this.cacheEventDelayMs = cacheEventDelayMs;
  }

  /**
   * Makes the engine close the connection of every call whose last message contains the text; an
   * empty text disables the fault.
   */
  public void setCrashText(String crashText) {
    this.crashText = crashText;
  }

  double slowdown() {
    return slowdown;
  }

  boolean hung() {
    return hung;
  }

  boolean consumeLostResponse() {
    return responsesToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
  }

  boolean dropsCacheEvents() {
    return dropsCacheEvents;
  }

  long cacheEventDelayMs() {
    return cacheEventDelayMs;
  }

  boolean crashesOn(String text) {
    return !crashText.isEmpty() && text.contains(crashText);
  }
}
