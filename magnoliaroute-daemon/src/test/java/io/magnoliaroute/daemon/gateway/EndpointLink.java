package io.magnoliaroute.daemon.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The network path from one VM to one endpoint, as a loopback proxy that can be cut. */
final class EndpointLink implements Closeable {

  private static final int BACKLOG = 64;
  private static final int BUFFER_BYTES = 8_192;
  private static final int SOCKETS_PER_CONNECTION = 2;

  private final int endpointPort;
  private final int port;
  private final List<Socket> connections = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger openConnections = new AtomicInteger();
  private SilentListener silentListener;
  private ServerSocket listener;
  private Thread acceptor;
  private boolean silent;

  /** How the path fails. */
  enum Cut {
    /** Open connections transport no bytes, and attempts to connect get no response. */
    SILENT {
      @Override
      void apply(EndpointLink link) throws IOException {
        link.setSilent(true);
        link.ignoreNewConnections();
      }
    },
    /** New connections are accepted, and no connection transports any bytes. */
    ACCEPTS_ONLY {
      @Override
      void apply(EndpointLink link) {
        link.setSilent(true);
      }
    },
    /** Open connections are reset, and attempts to connect get no response. */
    RESET {
      @Override
      void apply(EndpointLink link) throws IOException {
        link.ignoreNewConnections();
        link.resetConnections();
      }
    },
    /** Open connections work, and attempts to connect are refused. */
    REFUSES_NEW {
      @Override
      void apply(EndpointLink link) throws IOException {
        link.closeListener();
      }
    };

    abstract void apply(EndpointLink link) throws IOException;
  }

  EndpointLink(int endpointPort) throws IOException {
    this.endpointPort = endpointPort;
    listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    port = listener.getLocalPort();
    acceptor = acceptOn(listener);
  }

  int port() {
    return port;
  }

  /** Returns the number of connections that the VM has not closed. */
  int openConnections() {
    return openConnections.get();
  }

  synchronized void cut(Cut cut) throws IOException {
    cut.apply(this);
  }

  synchronized void restore() throws IOException {
    if (listener.isClosed()) {
      closeListener();
      listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
      acceptor = acceptOn(listener);
    }
    setSilent(false);
  }

  private synchronized void setSilent(boolean newSilent) {
    silent = newSilent;
    notifyAll();
  }

  private void ignoreNewConnections() throws IOException {
    closeListener();
    silentListener = new SilentListener(port);
  }

  private synchronized void resetConnections() throws IOException {
    resetOldest(connections.size() / SOCKETS_PER_CONNECTION);
  }

  /** Resets the connections that were opened first. */
  synchronized void resetOldest(int count) throws IOException {
    List<Socket> oldest = connections.subList(0, count * SOCKETS_PER_CONNECTION);
    for (Socket each : List.copyOf(oldest)) {
      if (!each.isClosed()) {
        each.setSoLinger(true, 0);
        each.close();
      }
    }
    oldest.clear();
  }

  // The port is free only once no thread waits for connections any more.
  private void closeListener() throws IOException {
    listener.close();
    try {
      acceptor.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (silentListener != null) {
      silentListener.close();
      silentListener = null;
    }
  }

  private Thread acceptOn(ServerSocket server) {
    return startThread(
        () -> {
          while (true) {
            Socket caller = server.accept();
            Socket endpoint = new Socket(server.getInetAddress(), endpointPort);
            caller.setTcpNoDelay(true);
            endpoint.setTcpNoDelay(true);
            register(caller, endpoint);
            startThread(
                () -> {
                  openConnections.incrementAndGet();
                  try {
                    forward(caller, endpoint);
                  } finally {
                    openConnections.decrementAndGet();
                  }
                });
            startThread(() -> forward(endpoint, caller));
          }
        });
  }

  private synchronized void register(Socket caller, Socket endpoint) {
    connections.add(caller);
    connections.add(endpoint);
  }

  private void forward(Socket from, Socket to) throws IOException, InterruptedException {
    byte[] buffer = new byte[BUFFER_BYTES];
    int length = from.getInputStream().read(buffer);
    while (length >= 0) {
      awaitNotSilent();
      to.getOutputStream().write(buffer, 0, length);
      length = from.getInputStream().read(buffer);
    }
    awaitNotSilent();
    to.shutdownOutput();
  }

  private synchronized void awaitNotSilent() throws InterruptedException {
    while (silent) {
      wait();
    }
  }

  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  private static Thread startThread(Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (IOException e) {
                // A socket was closed, which ends this direction of the connection.
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  @Override
  public synchronized void close() throws IOException {
    closeListener();
    resetConnections();
  }
}
