package io.magnoliaroute.daemon.gateway;

/**
 * Tracks the open attempts of one request: the current one and, while a request is repeated because
 * its connection carries no bytes, also the earlier one. The endpoint may still respond to the
 * earlier attempt, so the attempt whose response head arrives first determines the response.
 * Confined to one event loop.
 */
final class OpenAttempts {

  private RequestAttempt current;
  private RequestAttempt earlier;
  private boolean repeating;

  /** Returns the attempt that was sent last and is still open; null if there is none. */
  RequestAttempt current() {
    return current;
  }

  /** Adds an attempt that is about to be sent. */
  void add(RequestAttempt attempt) {
    current = attempt;
    repeating = false;
  }

  /**
   * Begins to repeat the request beside its current attempt; returns false if it is being repeated
   * already.
   */
  boolean beginRepeat() {
    if (current == null || earlier != null) {
      return false;
    }
    earlier = current;
    current = null;
    repeating = true;
    return true;
  }

  /**
   * Ends a repetition that could not be sent, and returns whether the earlier attempt is open and
   * becomes the current one.
   */
  boolean abandonRepeat() {
    repeating = false;
    if (current == null) {
      current = earlier;
      earlier = null;
    }
    return current != null;
  }

  /** Removes an attempt that has ended; returns whether another one is open or about to be sent. */
  boolean remove(RequestAttempt attempt) {
    if (attempt == current) {
      current = earlier;
    }
    earlier = null;
    return current != null || repeating;
  }

  /** Cancels all attempts except the one whose response has begun. */
  void select(RequestAttempt attempt) {
    repeating = false;
    if (attempt == earlier) {
      earlier = current;
      current = attempt;
    }
    if (earlier != null) {
      earlier.cancel();
      earlier = null;
    }
  }

  /** Cancels all attempts. */
  void cancel() {
    repeating = false;
    if (earlier != null) {
      earlier.cancel();
      earlier = null;
    }
    if (current != null) {
      current.cancel();
      current = null;
    }
  }
}
