package io.magnoliaroute.daemon.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A loopback port at which attempts to connect get no response, as in a partition. */
final class SilentListener implements Closeable {

  private final List<Closeable> sockets = new ArrayList<>();
  private final int port;

  /**
   * Creates the listener.
   *
   * @param requestedPort the port; 0 for an ephemeral one
   */
  SilentListener(int requestedPort) throws IOException {
    // Once the accept queue of a listener is full, connection attempts get no response.
    ServerSocket listener = new ServerSocket();
    sockets.add(listener);
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), requestedPort), 1);
    port = listener.getLocalPort();
    for (int i = 0; i < 2; i++) {
      sockets.add(new Socket(listener.getInetAddress(), port));
    }
  }

  int port() {
    return port;
  }

  @Override
  public void close() throws IOException {
    for (Closeable each : sockets) {
      each.close();
    }
  }
}
