package io.magnoliaroute.core.gateway;

import java.time.InstantSource;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Limits the memory that messages of all senders take together while they are received and until
 * they are processed.
 *
 * <p>While the memory is short, messages that stall give way to messages that arrive, the largest
 * first, and all large messages that are not complete give way to small ones. A single large
 * message of any size is accepted beside small ones that keep to their share. Not thread-safe.
 */
public final class ReceiveMemoryLimiter {

  /** Size up to which a message is small; several times the usual size of a request. */
  public static final int SMALL_MESSAGE_BYTES = 32_768;

  /** Time within which an incomplete message has to grow by {@link #PROGRESS_BYTES}. */
  static final long STALL_MS = 1_000;

  static final int PROGRESS_BYTES = 4_096;

  private final long maxTotalBytes;
  private final long maxLargeBytes;
  private final InstantSource clock;
  private final Set<Message> incomplete = new LinkedHashSet<>();
  private long totalBytes;
  private long largeBytes;

  /**
   * Creates a limiter.
   *
   * @param maxTotalBytes limit of all messages together
   * @param maxLargeBytes limit of all large messages together; the rest is left to small ones
   */
  public ReceiveMemoryLimiter(long maxTotalBytes, long maxLargeBytes, InstantSource clock) {
    if (maxLargeBytes < 0 || maxLargeBytes > maxTotalBytes) {
      throw new IllegalArgumentException(
          "maxLargeBytes must be from 0 to " + maxTotalBytes + ", was " + maxLargeBytes);
    }
    this.maxTotalBytes = maxTotalBytes;
    this.maxLargeBytes = maxLargeBytes;
    this.clock = clock;
  }

  /**
   * Begins a message that takes no memory yet.
   *
   * @param onEvicted runs if the message has to give way; its memory is released by then
   */
  public Message begin(Runnable onEvicted) {
    return new Message(onEvicted);
  }

  /** Returns the memory that all messages take at present. */
  public long totalBytes() {
    return totalBytes;
  }

  /** The memory of one message. */
  public final class Message {

    private final Runnable onEvicted;
    private long bytes;
    private long receivedBytes;
    private long progressAtMs;
    private boolean complete;
    private boolean released;

    private Message(Runnable onEvicted) {
      this.onEvicted = onEvicted;
      this.progressAtMs = clock.millis();
    }

    /**
     * Changes the memory that the message takes. Returns whether the limits allow it; if not, its
     * memory is unchanged. May evict other messages.
     */
    public boolean tryResize(long newBytes) {
      if (released) {
        return false;
      }
      if (newBytes > bytes && !makeRoom(this, newBytes)) {
        return false;
      }
      resize(newBytes);
      return true;
    }

    /** Records that bytes of the message have arrived. */
    public void recordReceived(long count) {
      receivedBytes += count;
      if (receivedBytes >= PROGRESS_BYTES) {
        receivedBytes = 0;
        progressAtMs = clock.millis();
      }
    }

    /** Keeps the message from being evicted, because it is being processed. */
    public void markComplete() {
      complete = true;
      incomplete.remove(this);
    }

    /** Releases the memory; has no effect if that has happened. */
    public void release() {
      resize(0);
      released = true;
    }

    private void resize(long newBytes) {
      totalBytes += newBytes - bytes;
      largeBytes += largeShare(newBytes) - largeShare(bytes);
      bytes = newBytes;
      if (newBytes > 0 && !complete) {
        incomplete.add(this);
      } else {
        incomplete.remove(this);
      }
    }

    private boolean isStalled() {
      return clock.millis() - progressAtMs >= STALL_MS;
    }
  }

  private boolean makeRoom(Message message, long newBytes) {
    evictUntilFits(message, newBytes, Message::isStalled);
    if (!isLarge(newBytes)) {
      evictUntilFits(message, newBytes, each -> isLarge(each.bytes));
    }
    return fits(message, newBytes);
  }

  private void evictUntilFits(Message message, long newBytes, Predicate<Message> candidates) {
    while (!fits(message, newBytes)) {
      Optional<Message> largest =
          incomplete.stream()
              .filter(each -> each != message)
              .filter(candidates)
              .max(Comparator.comparingLong(each -> each.bytes));
      if (largest.isEmpty()) {
        return;
      }
      largest.get().release();
      largest.get().onEvicted.run();
    }
  }

  private boolean fits(Message message, long newBytes) {
    long otherBytes = totalBytes - message.bytes;
    long otherLargeBytes = largeBytes - largeShare(message.bytes);
    if (!isLarge(newBytes)) {
      return otherBytes + newBytes <= maxTotalBytes;
    }
    if (otherLargeBytes == 0 && otherBytes <= maxTotalBytes - maxLargeBytes) {
      return true;
    }
    return otherBytes + newBytes <= maxTotalBytes && otherLargeBytes + newBytes <= maxLargeBytes;
  }

  private static long largeShare(long bytes) {
    return isLarge(bytes) ? bytes : 0;
  }

  private static boolean isLarge(long bytes) {
    return bytes > SMALL_MESSAGE_BYTES;
  }
}
