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

/** Waits for futures and conditions with a deadline. */
public final class Await {

  private static final long DEADLINE_MS = 20_000;
  private static final long CHECK_MS = 5;

  // Conditions may call daemons, so they do not run on an event loop.
  private static final ScheduledExecutorService CHECKS =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "await");
            thread.setDaemon(true);
            return thread;
          });

  private Await() {}

  /** Returns the result of the future. */
  public static <T> T result(Future<T> future) {
    try {
      return future
          .toCompletionStage()
          .toCompletableFuture()
          .get(DEADLINE_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new AssertionError("the future did not succeed: " + e, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }

  /** Returns when the condition holds; fails after the deadline. */
  public static void until(String what, BooleanSupplier condition) {
    within(DEADLINE_MS, what, condition);
  }

  /** Returns when the condition holds; fails when it does not within the bound. */
  public static void within(long boundMs, String what, BooleanSupplier condition) {
    CompletableFuture<Void> held = new CompletableFuture<>();
    ScheduledFuture<?> checks =
        CHECKS.scheduleWithFixedDelay(
            () -> {
              try {
                if (condition.getAsBoolean()) {
                  held.complete(null);
                }
              } catch (RuntimeException | AssertionError e) {
                held.completeExceptionally(e);
              }
            },
            0,
            CHECK_MS,
            TimeUnit.MILLISECONDS);
    try {
      held.get(boundMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new AssertionError("did not hold in time: " + what, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    } finally {
      checks.cancel(false);
    }
  }
}
