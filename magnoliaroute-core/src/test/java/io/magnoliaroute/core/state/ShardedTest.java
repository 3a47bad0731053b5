package io.magnoliaroute.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class ShardedTest {

  private static final int SHARDS = 4;
  private static final int THREADS = 8;
  private static final int INCREMENTS_PER_THREAD = 50_000;
  private static final int KEYS = 16;

  /** Guards against access to a shard without its lock, which would lose increments. */
  @Test
  void incrementsFromSeveralThreadsAreAllCounted() throws InterruptedException {
    Sharded<Integer, Map<Integer, Long>> counts = new Sharded<>(SHARDS, HashMap::new);
    List<Thread> threads = new ArrayList<>();
    for (int t = 0; t < THREADS; t++) {
      Thread thread = new Thread(() -> incrementAll(counts));
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    long total =
        counts
            .withEachShard(shard -> shard.values().stream().mapToLong(Long::longValue).sum())
            .stream()
            .mapToLong(Long::longValue)
            .sum();
    assertEquals((long) THREADS * INCREMENTS_PER_THREAD, total);
  }

  /** Guards against an index error caused by a shard count of zero. */
  @Test
  void zeroShardsAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new Sharded<>(0, HashMap::new));
  }

  private static void incrementAll(Sharded<Integer, Map<Integer, Long>> counts) {
    for (int i = 0; i < INCREMENTS_PER_THREAD; i++) {
      int key = i % KEYS;
      counts.withShard(key, shard -> shard.merge(key, 1L, Long::sum));
    }
  }
}
