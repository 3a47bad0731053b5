package io.magnoliaroute.daemon.support;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client connection on which a test writes and reads exact bytes. */
public final class RawClient implements Closeable {

  private static final int READ_TIMEOUT_MS = 10_000;

  private final Socket socket;
  private final InputStream in;

  /** Connects to a port of this host. */
  public RawClient(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Returns the head of a request with the given lines. */
  public static String head(String... lines) {
    return String.join("\r\n", lines) + "\r\n\r\n";
  }

  /** Writes bytes; on return they have reached the receive buffer of the peer. */
  public void write(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads the head of a response; empty if the connection was closed instead. */
  public String readHead() throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = readByte();
      if (next < 0) {
        return "";
      }
      head.write(next);
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a response with a length; empty if the connection was closed instead. */
  public String readResponse() throws IOException {
    String head = readHead();
    for (String line : head.lines().toList()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        int length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
        return head + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
      }
    }
    return head;
  }

  /** Reads all bytes until the connection is closed. */
  public String readUntilClosed() throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int next = readByte(); next >= 0; next = readByte()) {
      all.write(next);
    }
    return all.toString(StandardCharsets.ISO_8859_1);
  }

  // A reset ends the connection as well; what was read before stays valid.
  private int readByte() throws IOException {
    try {
      return in.read();
    } catch (SocketException e) {
      return -1;
    }
  }

  /** Ends the direction to the peer; responses can still be read. */
  public void endOutput() throws IOException {
    socket.shutdownOutput();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
