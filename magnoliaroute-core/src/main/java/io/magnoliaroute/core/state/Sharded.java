package io.magnoliaroute.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * State split into shards by key, each shard under its own lock.
 *
 * <p>Callers must not call out of the process or lock a kind of state that comes earlier in the
 * lock order (program, team, endpoint, log writer) while they hold a shard.
 *
 * @param <K> the type of the key
 * @param <S> the type of one shard's state
 */
public final class Sharded<K, S> {

  private final List<Shard<S>> shards;

  /** Makes {@code shardCount} shards, each with its own state from the supplier. */
  public Sharded(int shardCount, Supplier<S> newState) {
    if (shardCount < 1) {
      throw new IllegalArgumentException("shardCount must be positive, was " + shardCount);
    }
    List<Shard<S>> made = new ArrayList<>(shardCount);
    for (int i = 0; i < shardCount; i++) {
      made.add(new Shard<>(newState.get()));
    }
    this.shards = List.copyOf(made);
  }

  /** Runs the function on the shard of the key under that shard's lock and returns its result. */
  public <R> R withShard(K key, Function<S, R> function) {
    return shards.get(Math.floorMod(spread(key.hashCode()), shards.size())).call(function);
  }

  /** Runs the function on each shard in turn, one lock at a time, and returns the results. */
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
