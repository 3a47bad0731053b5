package io.magnoliaroute.standin.engine;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults of the model engine, switched by tests while it runs. */
public final class EngineFaults {

  private final AtomicInteger answersToLose = new AtomicInteger();
  private volatile double slowdown = 1.0;
  private volatile boolean hung;
  private volatile boolean dropsCacheEvents;
  private volatile long cacheEventDelayMs;
  private volatile String crashText = "";

  /** Multiplies the time of each token; 1 is normal speed. */
  public void setSlowdown(double slowdown) {
    this.slowdown = slowdown;
  }

  /** Makes calls accept their request and send nothing. */
  public void setHung(boolean hung) {
    this.hung = hung;
  }

  /** Makes the next calls generate their whole answer and lose it. */
  public void loseNextAnswers(int count) {
    answersToLose.set(count);
  }

  /** Drops cache events, so that only the listing is right. */
  public void setDropsCacheEvents(boolean dropsCacheEvents) {
    this.dropsCacheEvents = dropsCacheEvents;
  }

  /** Publishes cache events late. */
  public void setCacheEventDelayMs(long cacheEventDelayMs) {
    this.cacheEventDelayMs = cacheEventDelayMs;
  }

  /** Closes the connection of every call whose last message holds the text; empty for none. */
  public void setCrashText(String crashText) {
    this.crashText = crashText;
  }

  double slowdown() {
    return slowdown;
  }

  boolean hung() {
    return hung;
  }

  boolean takeLostAnswer() {
    return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
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
