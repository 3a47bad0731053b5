package io.magnoliaroute.daemon.gateway;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A connection of one client of a crowd. */
final class CrowdConnection implements Closeable {

  private static final int RECEIVE_BUFFER_BYTES = 8_192;
  private static final long SLOW_INTERVAL_MS = 20;
  private static final AtomicInteger REQUEST_IDS = new AtomicInteger();

  private final Socket socket = new Socket();
  private final Runnable onStarted;
  private final CountDownLatch leaving;

  /**
   * Connects to a port of this host.
   *
   * @param onStarted runs when a client that writes slowly has begun
   * @param leaving ends the writing of slow clients
   */
  CrowdConnection(int port, Runnable onStarted, CountDownLatch leaving) throws IOException {
    this.onStarted = onStarted;
    this.leaving = leaving;
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
  }

  String nextRequestId() {
    return "abusive-" + REQUEST_IDS.incrementAndGet();
  }

  void write(String text) throws IOException {
    write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  void write(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  void writeRepeatedly(String text, int times) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    for (int written = 0; written < times; written++) {
      write(bytes);
    }
  }

  /** Writes the text again and again, with pauses, until the crowd leaves. */
  void writeSlowly(String text) throws IOException {
    onStarted.run();
    while (!hasLeft(SLOW_INTERVAL_MS)) {
      write(text);
    }
  }

  private boolean hasLeft(long timeoutMs) {
    try {
      return leaving.await(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }

  /** Waits for the first byte of a response. */
  void readByte() throws IOException {
    if (socket.getInputStream().read() < 0) {
      throw new EOFException("connection closed without a response");
    }
  }

  /** Stays connected until the VM closes the connection or the crowd leaves. */
  void stay(boolean reads) throws IOException {
    if (!reads) {
      hasLeft(Long.MAX_VALUE);
      return;
    }
    InputStream in = socket.getInputStream();
    byte[] discarded = new byte[RECEIVE_BUFFER_BYTES];
    while (in.read(discarded) >= 0) {
      // Responses are of no interest.
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
