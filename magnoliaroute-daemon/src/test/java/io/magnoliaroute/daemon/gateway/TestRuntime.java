package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;

/** Creates the event loops on which tests run VMs. */
final class TestRuntime {

  private TestRuntime() {}

  /**
   * With one event loop, state that is read in callOnContext is read on the loop that updates it.
   */
  static Vertx singleLoopVertx() {
    return Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  }

  static <T> Future<T> callOnContext(Vertx runtime, Supplier<T> step) {
    Promise<T> promise = Promise.promise();
    runtime.getOrCreateContext().runOnContext(run -> promise.complete(step.get()));
    return promise.future();
  }

  /** Returns state of a VM as its event loop sees it. */
  static <T> T read(Vertx runtime, Supplier<T> step) {
    return Await.result(callOnContext(runtime, step));
  }

  /** Blocks the only event loop of the runtime until the result runs. */
  static Runnable pause(Vertx runtime) {
    CountDownLatch wake = new CountDownLatch(1);
    CountDownLatch paused = new CountDownLatch(1);
    runtime
        .getOrCreateContext()
        .runOnContext(
            run -> {
              paused.countDown();
              await(wake);
            });
    await(paused);
    return wake::countDown;
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The VM registers its address in the store before it listens, so the port must be known. */
  static int freePort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException("no free port", e);
    }
  }
}
