package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.engine.EndpointTimeouts;
import io.magnoliaroute.daemon.engine.EngineCacheClient;
import io.magnoliaroute.daemon.engine.ServiceClient;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.platform.HttpLogClient;
import io.magnoliaroute.daemon.platform.VmListPoller;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.platform.StoreClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against responses without end that fill the memory of the caller or are never given up.
 */
@DisplayName("A response without end")
class EndlessResponsesTest {

  private static final long MAX_BODY_BYTES = 4_194_304;

  /** Bytes that the operating system may hold for the sockets of both sides. */
  private static final long SOCKET_BUFFER_BYTES = 16_777_216;

  private static final long MAX_LISTING_BYTES = 34_000_000;

  /** The longest time-out of the callers, plus a margin for a busy machine. */
  private static final long MAX_CALL_MS = 2_000 + 1_500;

  private static final long SLOW_INTERVAL_MS = 300;
  private static final int PART_BYTES = 65_536;

  private final Vertx vertx = Vertx.vertx();
  private final AtomicLong writtenBytes = new AtomicLong();
  private final AtomicInteger accepted = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();

  @AfterEach
  void stop() {
    Await.result(vertx.close());
  }

  /** A caller whose response does not end. */
  private enum Caller {
    STORE_READ {
      @Override
      void call(Vertx vertx, int port) {
        store(vertx, port).read("t", 0, 0, 0);
      }
    },
    STORE_LISTING {
      @Override
      void call(Vertx vertx, int port) {
        store(vertx, port).listNewest("keyed.t", 0);
      }
    },
    STORE_APPEND {
      @Override
      void call(Vertx vertx, int port) {
        store(vertx, port).append("keyed.t", 0, Optional.empty(), List.of());
      }
    },
    LOG {
      @Override
      void call(Vertx vertx, int port) {
        new HttpLogClient(vertx, new HostPort(HOST, port)).read("s", 0, 1);
      }
    },
    VM_LIST {
      @Override
      void call(Vertx vertx, int port) {
        new VmListPoller(vertx, new HostPort(HOST, port), list -> {}, new DaemonMetrics())
            .start(vertx);
      }
    },
    SERVICE {
      @Override
      void call(Vertx vertx, int port) {
        new ServiceClient(vertx, TIMEOUTS)
            .executeOperation(endpoint(port), "o", "k", 1, Bytes.copyOf(new byte[0]), 1_000);
      }
    },
    SERVICE_STATUS {
      @Override
      void call(Vertx vertx, int port) {
        new ServiceClient(vertx, TIMEOUTS).queryStatus(endpoint(port), "k", 1);
      }
    },
    ENGINE_CACHE {
      @Override
      void call(Vertx vertx, int port) {
        new EngineCacheClient(vertx, TIMEOUTS).release(endpoint(port), new ProgramId("p"));
      }
    };

    private static final String HOST = "127.0.0.1";
    private static final EndpointTimeouts TIMEOUTS = new EndpointTimeouts(500, 1_000, 1_000, 1_000);

    abstract void call(Vertx vertx, int port);

    private static StoreClient store(Vertx vertx, int port) {
      return new StoreClient(vertx, new HostPort(HOST, port), (kind, outcome) -> {});
    }

    private static EndpointSettings endpoint(int port) {
      return new EndpointSettings(
          new EndpointId("e"), HOST, port, new DataCentreId("dc"), 1, 0, false, false);
    }
  }

  /** The part of a response that does not end. */
  private enum Part {
    HEADERS("HTTP/1.1 200 OK\r\n", "X-More: " + "x".repeat(1_024) + "\r\n"),
    STATUS_LINE("HTTP/1.1 200 ", "x".repeat(PART_BYTES)),
    BODY_BY_LENGTH(
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x".repeat(PART_BYTES)),
    BODY_TO_CLOSE("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x".repeat(PART_BYTES)),
    CHUNKS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1000\r\n" + "x".repeat(4_096) + "\r\n"),
    TRAILERS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-More: " + "x".repeat(1_024) + "\r\n"),
    FAILURE("HTTP/1.1 500 Failed\r\nContent-Length: 99999999999\r\n\r\n", "x".repeat(PART_BYTES));

    private final String start;
    private final String repeated;

    Part(String start, String repeated) {
      this.start = start;
      this.repeated = repeated;
    }
  }

  private int startServer(Part part, long intervalMs) {
    NetServer server =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  accepted.incrementAndGet();
                  socket.exceptionHandler(e -> socket.close());
                  socket.closeHandler(end -> closed.incrementAndGet());
                  boolean[] begun = {false};
                  socket.handler(
                      bytes -> {
                        if (!begun[0]) {
                          begun[0] = true;
                          socket.write(part.start);
                          writeOn(socket, part.repeated, intervalMs);
                        }
                      });
                });
    return Await.result(server.listen(0, "127.0.0.1")).actualPort();
  }

  private void writeOn(NetSocket socket, String text, long intervalMs) {
    socket
        .write(text)
        .onSuccess(
            written -> {
              writtenBytes.addAndGet(text.length());
              if (intervalMs > 0) {
                vertx.setTimer(intervalMs, fired -> writeOn(socket, text, intervalMs));
              } else {
                vertx.runOnContext(next -> writeOn(socket, text, intervalMs));
              }
            });
  }

  private static Stream<Arguments> callersAndParts() {
    return Stream.of(Caller.values())
        .flatMap(caller -> Stream.of(Part.values()).map(part -> Arguments.of(caller, part)));
  }

  @ParameterizedTest
  @MethodSource("callersAndParts")
  @DisplayName("is given up once it exceeds a limit")
  void isGivenUpAtLimit(Caller caller, Part part) {
    int port = startServer(part, 0);

    caller.call(vertx, port);

    Await.until("the call has begun", () -> accepted.get() >= 1);
    Await.until("the caller closes the connection", () -> closed.get() >= 1);
    long limitBytes = (MAX_BODY_BYTES + SOCKET_BUFFER_BYTES) * accepted.get();
    assertTrue(writtenBytes.get() <= limitBytes, "accepted " + writtenBytes.get() + " bytes");
  }

  @Test
  @DisplayName("is given up if it is a listing of the store that always has a further page")
  void listingIsGivenUp() {
    String value = Base64.getEncoder().encodeToString(new byte[PART_BYTES]);
    AtomicInteger pages = new AtomicInteger();
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  String item = "{\"key\":\"k%d\",\"value\":\"%s\",\"offset\":1}";
                  String items = item.formatted(pages.incrementAndGet(), value);
                  request.response().end("{\"items\":[" + items + "],\"has_more\":true,\"end\":9}");
                });
    int port = Await.result(server.listen(0, "127.0.0.1")).actualPort();

    Future<StoreClient.Listing> listing = Caller.store(vertx, port).listNewest("keyed.t", 0);

    Await.until("the listing is given up", listing::failed);
    long listedBytes = (long) pages.get() * value.length();
    assertTrue(listedBytes < MAX_LISTING_BYTES, "listed " + listedBytes + " bytes");
  }

  @ParameterizedTest
  @EnumSource(Caller.class)
  @DisplayName("is given up in time, however slowly it arrives")
  void isGivenUpInTime(Caller caller) {
    for (Part part : Part.values()) {
      caller.call(vertx, startServer(part, SLOW_INTERVAL_MS));
    }

    int calls = Part.values().length;
    Await.until("the calls have begun", () -> accepted.get() >= calls);
    Await.within(MAX_CALL_MS, "the connections are closed", () -> closed.get() >= calls);
  }
}
