package io.magnoliaroute.daemon.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An endpoint that responds with the raw bytes of a script, well-formed or not. */
final class RawEndpoint {

  private static final Pattern REQUEST_ID = Pattern.compile("(?i)x-request-id: (\\S+)\r\n");

  /** Small, so that the VM cannot write a long request before the endpoint reads it. */
  private static final int RECEIVE_BUFFER_BYTES = 16_384;

  private static final String HEAD_END = "\r\n\r\n";

  private final Vertx vertx;
  private final Script script;
  private final boolean resets;
  private final List<String> requestIds = new ArrayList<>();
  private final AtomicInteger openCount = new AtomicInteger();
  private NetServer server;

  /** Responds to the requests that the endpoint receives. */
  interface Script {

    /**
     * Writes the response to one request.
     *
     * @param call the request and its connection
     */
    void respond(Call call);
  }

  /**
   * One request and its connection.
   *
   * @param number the number of the client request, from 1; 0 for a request of the VM itself
   * @param id the request id; empty for a request of the VM itself
   * @param head the request head, as received
   */
  record Call(Vertx vertx, NetSocket socket, int number, String id, String head) {

    void write(String text) {
      socket.write(text);
    }

    void writeLater(long delayMs, String text) {
      vertx.setTimer(delayMs, fired -> socket.write(text));
    }

    /** Writes the text repeatedly until the caller closes the connection. */
    void writeRepeatedly(String text) {
      if (!socket.writeQueueFull()) {
        socket.write(text).onSuccess(written -> vertx.runOnContext(next -> writeRepeatedly(text)));
      } else {
        socket.drainHandler(drained -> writeRepeatedly(text));
      }
    }

    /** Writes the text at the given interval until the caller closes the connection. */
    void writePeriodically(long intervalMs, String text) {
      vertx.setTimer(
          intervalMs,
          fired -> socket.write(text).onSuccess(written -> writePeriodically(intervalMs, text)));
    }

    /** Returns the head of a successful response with additional header lines. */
    String head(String... lines) {
      StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\n");
      text.append("X-Request-Id: ").append(id).append("\r\nX-Server-Seal: seal\r\n");
      for (String line : lines) {
        text.append(line).append("\r\n");
      }
      return text.append("\r\n").toString();
    }

    /** Returns a complete successful response. */
    String completeResponse(String body) {
      return head("Content-Length: " + body.length()) + body;
    }

    /** Returns the head of an event stream, after which the script can write plain events. */
    String eventStreamHead() {
      return head("Content-Type: text/event-stream", "Connection: close");
    }
  }

  /**
   * Creates an endpoint.
   *
   * @param resets whether a connection that the script closes is reset
   */
  RawEndpoint(Vertx vertx, Script script, boolean resets) {
    this.vertx = vertx;
    this.resets = resets;
    this.script = script;
  }

  Future<Integer> start() {
    NetServerOptions options =
        new NetServerOptions()
            .setSoLinger(resets ? 0 : -1)
            .setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server = vertx.createNetServer(options);
    return server
        .connectHandler(this::handleConnection)
        .listen(0, "127.0.0.1")
        .map(NetServer::actualPort);
  }

  /** Returns the ids of the client requests in the order of their arrival. */
  synchronized List<String> requestIds() {
    return List.copyOf(requestIds);
  }

  int openConnections() {
    return openCount.get();
  }

  private void handleConnection(NetSocket socket) {
    openCount.incrementAndGet();
    socket.exceptionHandler(e -> socket.close());
    socket.closeHandler(closed -> openCount.decrementAndGet());
    Buffer received = Buffer.buffer();
    int[] consumed = {0};
    socket.handler(
        bytes -> {
          received.appendBuffer(bytes);
          int end = received.toString().indexOf(HEAD_END, consumed[0]);
          if (end < 0) {
            return;
          }
          String head = received.toString().substring(consumed[0], end + HEAD_END.length());
          consumed[0] = received.length();
          Matcher id = REQUEST_ID.matcher(head);
          if (id.find()) {
            script.respond(new Call(vertx, socket, recordRequest(id.group(1)), id.group(1), head));
          } else {
            script.respond(new Call(vertx, socket, 0, "", head));
          }
        });
  }

  private synchronized int recordRequest(String id) {
    requestIds.add(id);
    return requestIds.size();
  }
}
