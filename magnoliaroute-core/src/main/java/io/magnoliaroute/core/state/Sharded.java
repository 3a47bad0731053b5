package io.magnoliaroute.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * State partitioned into shards by key, each guarded by its own lock.
 *
 * <p>While holding the lock of a shard, callers must not make calls to other processes, and must
 * not lock a kind of state that comes earlier in the lock order (program, team, endpoint, log
 * writer).
 *
 * @param <K> the type of the key
 * @param <S> the type of one shard's state
 */
public final class Sharded<K, S> {

  private final List<Shard<S>> shards;

  /** Creates {@code shardCount} shards, each with its own state from the supplier. */
  public Sharded(int shardCount, Supplier<S> newState) {
    if (shardCount < 1) {
      throw new IllegalArgumentException("shardCount must be positive, was " + shardCount);
    }
    List<Shard<S>> created = new ArrayList<>(shardCount);
    for (int i = 0; i < shardCount; i++) {
      created.add(new Shard<>(newState.get()));
    }
    this.shards = List.copyOf(created);
  }

  /** Runs the function on the shard of the key while holding its lock, and returns the result. */
  public <R> R withShard(K key, Function<S, R> function) {
    return shards.get(Math.floorMod(spread(key.hashCode()), shards.size())).call(function);
  }

  /** Runs the function on each shard in turn, holding one lock at a time; returns the results. */
  public <R> List<R> withEachShard(Function<S, R> function) {
    List<R> results = new ArrayList<>(shards.size());
    for (Shard<S> shard : shards) {
      results.add(shard.call(function));
    }
    return results;
  }

  private static int spread(int hash) {
    return hash ^ (hash >>> 16);
  }

  private static final class Shard<S> {

    private final ReentrantLock lock = new ReentrantLock();
    private final S state;

    Shard(S state) {
      this.state = state;
    }

    <R> R call(Function<S, R> function) {
      lock.lock();
      try {
        return function.apply(state);
      } finally {
        lock.unlock();
      }
    }
  }
}
