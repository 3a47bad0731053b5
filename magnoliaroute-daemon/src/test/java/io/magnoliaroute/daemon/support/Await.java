package io.magnoliaroute.daemon.support;

import io.vertx.core.Future;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** Waits for futures and conditions with a timeout. */
public final class Await {

  private static final long DEFAULT_TIMEOUT_MS = 20_000;
  private static final long CHECK_INTERVAL_MS = 5;

  // Conditions may send blocking requests to daemons, so they must not run on an event loop.
  private static final ScheduledExecutorService SCHEDULER =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "await");
            thread.setDaemon(true);
            return thread;
          });

  private Await() {}

  /** Returns the result of the future; throws an AssertionError if it fails or times out. */
  public static <T> T result(Future<T> future) {
    try {
      return future
          .toCompletionStage()
          .toCompletableFuture()
          .get(DEFAULT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new AssertionError("the future failed or timed out: " + e, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted while waiting", e);
    }
  }

  /** Waits until the condition holds; throws an AssertionError after the default timeout. */
  public static void until(String description, BooleanSupplier condition) {
    within(DEFAULT_TIMEOUT_MS, description, condition);
  }

  /** Waits until the condition holds; throws an AssertionError after the given time. */
  public static void within(long boundMs, String description, BooleanSupplier condition) {
    CompletableFuture<Void> satisfied = new CompletableFuture<>();
    ScheduledFuture<?> checks =
        SCHEDULER.scheduleWithFixedDelay(
            () -> {
              try {
                if (condition.getAsBoolean()) {
                  satisfied.complete(null);
                }
              } catch (RuntimeException | AssertionError e) {
                satisfied.completeExceptionally(e);
              }
            },
            0,
            CHECK_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    try {
      satisfied.get(boundMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new AssertionError("condition did not hold in time: " + description, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted while waiting", e);
    } finally {
      checks.cancel(false);
    }
  }
}
