package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The limiter of received messages")
class ReceiveMemoryLimiterTest {

  private static final long KB = 1_024;
  private static final long MAX_TOTAL_BYTES = 1_000 * KB;
  private static final long MAX_LARGE_BYTES = 800 * KB;
  private static final long SEED = 42;

  private final List<String> evicted = new ArrayList<>();
  private long nowMs;
  private final ReceiveMemoryLimiter limiter =
      new ReceiveMemoryLimiter(MAX_TOTAL_BYTES, MAX_LARGE_BYTES, () -> Instant.ofEpochMilli(nowMs));

  private ReceiveMemoryLimiter.Message begin(String name) {
    return limiter.begin(() -> evicted.add(name));
  }

  private ReceiveMemoryLimiter.Message accepted(String name, long bytes) {
    ReceiveMemoryLimiter.Message message = begin(name);
    assertTrue(message.tryResize(bytes), name + " is accepted");
    return message;
  }

  @Test
  @DisplayName("refuses a large message that does not fit beside others that make progress")
  void refusesLargeMessage() {
    accepted("first", 500 * KB);
    assertFalse(begin("second").tryResize(400 * KB));
    assertEquals(500 * KB, limiter.totalBytes());
    assertEquals(List.of(), evicted);
  }

  @Test
  @DisplayName("evicts the largest stalled message for one that arrives")
  void evictsStalledMessage() {
    accepted("smaller", 200 * KB);
    accepted("larger", 500 * KB);
    nowMs += ReceiveMemoryLimiter.STALL_MS;
    accepted("new", 400 * KB);
    assertEquals(List.of("larger"), evicted);
    assertEquals(600 * KB, limiter.totalBytes());
  }

  @Test
  @DisplayName("takes a message that receives a few bytes at a time as stalled")
  void evictsSlowMessage() {
    ReceiveMemoryLimiter.Message slow = accepted("slow", 500 * KB);
    ReceiveMemoryLimiter.Message fast = accepted("fast", 300 * KB);
    for (int received = 0; received < 100; received++) {
      nowMs += ReceiveMemoryLimiter.STALL_MS / 50;
      slow.recordReceived(1);
      fast.recordReceived(ReceiveMemoryLimiter.PROGRESS_BYTES);
    }
    accepted("new", 400 * KB);
    assertEquals(List.of("slow"), evicted);
  }

  @Test
  @DisplayName("leaves room for small messages beside complete large ones")
  void leavesRoomForSmallMessages() {
    accepted("large", 800 * KB).markComplete();
    for (int number = 0; number < 20; number++) {
      accepted("small", 10 * KB);
    }
    assertFalse(begin("one too many").tryResize(10 * KB));
    assertEquals(List.of(), evicted);
  }

  @Test
  @DisplayName("evicts a large message that makes progress for a small one")
  void evictsLargeMessageForSmallOne() {
    accepted("large", 800 * KB);
    for (int number = 0; number < 21; number++) {
      accepted("small", 10 * KB);
    }
    assertEquals(List.of("large"), evicted);
  }

  @Test
  @DisplayName("evicts small messages that stall for one that arrives")
  void evictsStalledSmallMessage() {
    for (int number = 0; number < 40; number++) {
      accepted("stalled " + number, 25 * KB);
    }
    assertFalse(begin("too early").tryResize(10 * KB));
    nowMs += ReceiveMemoryLimiter.STALL_MS;
    accepted("new", 10 * KB);
    assertEquals(List.of("stalled 0"), evicted);
  }

  @Test
  @DisplayName("accepts a single message of any size")
  void acceptsSingleMessage() {
    ReceiveMemoryLimiter.Message single = accepted("single", 2 * MAX_TOTAL_BYTES);
    assertFalse(begin("second").tryResize(400 * KB));
    single.release();
    accepted("third", 2 * MAX_TOTAL_BYTES);
  }

  @Test
  @DisplayName("does not count a message that has been released or evicted")
  void ignoresReleasedMessage() {
    ReceiveMemoryLimiter.Message released = accepted("released", 500 * KB);
    released.release();
    released.release();
    assertFalse(released.tryResize(1));
    assertEquals(0, limiter.totalBytes());
  }

  @Test
  @DisplayName("stays within its limits in random sequences")
  void staysWithinLimits() {
    System.out.println("seed " + SEED);
    SplittableRandom random = new SplittableRandom(SEED);
    List<ReceiveMemoryLimiter.Message> messages = new ArrayList<>();
    for (int step = 0; step < 20_000; step++) {
      nowMs += random.nextInt(20);
      if (messages.size() < 100 || random.nextInt(4) == 0) {
        messages.add(begin("message"));
      }
      ReceiveMemoryLimiter.Message message = messages.get(random.nextInt(messages.size()));
      switch (random.nextInt(8)) {
        case 0 -> message.markComplete();
        case 1 -> {
          message.release();
          messages.remove(message);
        }
        case 2 -> message.recordReceived(random.nextInt(10_000));
        default -> message.tryResize(random.nextLong(300 * KB));
      }
      assertTrue(limiter.totalBytes() >= 0 && limiter.totalBytes() <= MAX_TOTAL_BYTES);
    }
    messages.forEach(ReceiveMemoryLimiter.Message::release);
    assertEquals(0, limiter.totalBytes());
  }
}
