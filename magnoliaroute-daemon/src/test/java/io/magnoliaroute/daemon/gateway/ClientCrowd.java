package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.daemon.support.PlatformProcess;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Clients that send at the same time and then stay connected until the crowd leaves. */
final class ClientCrowd implements AutoCloseable {

  /** Number of times that a client connects again after the VM has closed its connection. */
  private static final int RECONNECTS = 2;

  private static final long SETTLE_TIMEOUT_S = 30;
  private static final long LEAVE_TIMEOUT_S = 30;

  private final PlatformProcess vm;
  private final CountDownLatch settled;
  private final CountDownLatch leaving = new CountDownLatch(1);
  private final Set<CrowdConnection> connections = ConcurrentHashMap.newKeySet();
  private final List<Thread> threads = new ArrayList<>();

  private ClientCrowd(PlatformProcess vm, int connectionCount) {
    this.vm = vm;
    this.settled = new CountDownLatch(connectionCount);
  }

  /** Starts one client of each given kind. */
  static ClientCrowd start(PlatformProcess vm, AbusiveClient... kinds) {
    int count = 0;
    for (AbusiveClient kind : kinds) {
      count += kind.connectionsPerClient();
    }
    ClientCrowd crowd = new ClientCrowd(vm, count);
    for (AbusiveClient kind : kinds) {
      for (int number = 0; number < kind.connectionsPerClient(); number++) {
        Thread thread = new Thread(() -> crowd.runClient(kind), "crowd");
        thread.setDaemon(true);
        crowd.threads.add(thread);
        thread.start();
      }
    }
    return crowd;
  }

  private void runClient(AbusiveClient kind) {
    Runnable onSettled = onceSettled();
    for (int round = 0; round <= RECONNECTS && leaving.getCount() > 0; round++) {
      try (CrowdConnection connection = new CrowdConnection(kind.port(vm), onSettled, leaving)) {
        connections.add(connection);
        kind.send(connection);
        onSettled.run();
        connection.stay(kind.reads());
      } catch (IOException e) {
        // The VM has closed the connection, or the crowd leaves.
      }
    }
    onSettled.run();
  }

  private Runnable onceSettled() {
    CountDownLatch once = new CountDownLatch(1);
    return () -> {
      synchronized (once) {
        if (once.getCount() > 0) {
          once.countDown();
          settled.countDown();
        }
      }
    };
  }

  /**
   * Waits until all clients have sent what they send, or have been refused. Clients that the VM
   * does not read from are not waited for without end.
   */
  void awaitSettled() throws InterruptedException {
    settled.await(SETTLE_TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Closes all connections and ends all clients. */
  @Override
  public void close() throws IOException {
    leaving.countDown();
    for (CrowdConnection connection : connections) {
      connection.close();
    }
    try {
      for (Thread thread : threads) {
        thread.join(TimeUnit.SECONDS.toMillis(LEAVE_TIMEOUT_S));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
