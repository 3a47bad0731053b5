package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.daemon.support.PlatformProcess;
import io.magnoliaroute.daemon.support.RawClient;
import io.magnoliaroute.standin.users.StandinConfiguration;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;

/** What a client that exceeds its limits or does not finish sends on one connection. */
enum AbusiveClient {
  BODIES_WITH_LENGTH {
    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(post("Content-Length: " + MAX_BODY_BYTES));
      connection.write(new byte[MAX_BODY_BYTES - UNSENT_BYTES]);
    }
  },
  BODIES_IN_CHUNKS {
    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(post(CHUNKED));
      String chunk = "10000\r\n" + "a".repeat(0x10000) + "\r\n";
      connection.writeRepeatedly(chunk, (MAX_BODY_BYTES - UNSENT_BYTES) / 0x10000);
    }
  },
  CHUNKS_OF_ONE_BYTE {
    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(post(CHUNKED));
      connection.writeRepeatedly("1\r\na\r\n".repeat(1_000), 500);
    }
  },
  HEADS_WITHOUT_END {
    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(REQUEST_LINE);
      connection.writeRepeatedly("X-Fill: " + "a".repeat(1_000) + "\r\n", ENDLESS_KB);
    }
  },
  HEADS_OVER_THE_LIMIT {
    @Override
    void send(CrowdConnection connection) throws IOException {
      String fields = ("X-Fill: " + "a".repeat(1_000) + "\r\n").repeat(40);
      connection.writeRepeatedly(REQUEST_LINE + fields + "\r\n", 100);
    }
  },
  EMPTY_LINES_WITHOUT_END {
    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.writeRepeatedly("\r\n".repeat(512), ENDLESS_KB);
    }
  },
  SLOW_HEADS {
    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(REQUEST_LINE + "X-Fill: ");
      connection.writeSlowly("a");
    }
  },
  SILENT_CONNECTIONS {
    @Override
    int connectionsPerClient() {
      return 16;
    }

    @Override
    void send(CrowdConnection connection) {}
  },
  UNREAD_RESPONSES {
    @Override
    boolean reads() {
      return false;
    }

    @Override
    void send(CrowdConnection connection) throws IOException {
      for (int number = 0; number < 16; number++) {
        connection.write(get(SizedEndpoint.LARGE_PATH, connection.nextRequestId()));
      }
    }
  },
  UNREAD_STREAMS {
    @Override
    boolean reads() {
      return false;
    }

    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(get(SizedEndpoint.ENDLESS_PATH, connection.nextRequestId()));
    }
  },
  PIPELINED_REQUESTS {
    @Override
    boolean reads() {
      return false;
    }

    @Override
    void send(CrowdConnection connection) throws IOException {
      for (int number = 0; number < 500; number++) {
        connection.write(get(SizedEndpoint.SMALL_PATH, connection.nextRequestId()));
      }
    }
  },
  BYTES_AFTER_A_REFUSAL {
    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(post("Content-Length: " + 64 * MAX_BODY_BYTES));
      connection.writeRepeatedly("a".repeat(1_024), 2 * ENDLESS_KB);
    }
  },
  CHUNK_EXTENSIONS_WITHOUT_END {
    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(post(CHUNKED) + "1;x=");
      connection.writeRepeatedly("a".repeat(1_024), ENDLESS_KB);
    }
  },
  TRAILERS_WITHOUT_END {
    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(post(CHUNKED) + "1\r\na\r\n0\r\n");
      connection.writeRepeatedly("X-Fill: " + "a".repeat(1_000) + "\r\n", ENDLESS_KB);
    }
  },
  LONG_PEER_FRAMES {
    @Override
    int port(PlatformProcess vm) {
      return vm.peerPort();
    }

    @Override
    void send(CrowdConnection connection) throws IOException {
      int lengthBytes = 16_000_000;
      connection.write(ByteBuffer.allocate(4).putInt(lengthBytes).array());
      connection.write(new byte[lengthBytes - UNSENT_BYTES]);
    }
  },
  TUNNEL_REQUESTS_WITHOUT_END {
    @Override
    int port(PlatformProcess vm) {
      return vm.peerPort();
    }

    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write("CONNECT ");
      connection.writeRepeatedly("a".repeat(1_024), ENDLESS_KB);
    }
  },
  READINESS_CHECKS_WITHOUT_END {
    @Override
    int port(PlatformProcess vm) {
      return vm.readyPort();
    }

    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write("POST /-/ready HTTP/1.1\r\nHost: x\r\n" + CHUNKED + "\r\n\r\n");
      connection.writeRepeatedly("400\r\n" + "a".repeat(1_024) + "\r\n", ENDLESS_KB);
    }
  },
  SMALL_BODIES_WITH_LENGTH {
    @Override
    int connectionsPerClient() {
      return 16;
    }

    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(post("Content-Length: 32768") + "a");
    }
  },
  RESPONSES_READ_IN_PART {
    @Override
    int connectionsPerClient() {
      return 3;
    }

    @Override
    boolean reads() {
      return false;
    }

    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(get(SizedEndpoint.LARGE_PATH, connection.nextRequestId()));
      connection.readByte();
    }
  },
  BODIES_THAT_WAIT_FOR_RESPONSES {
    @Override
    void send(CrowdConnection connection) throws IOException {
      connection.write(
          "POST "
              + SizedEndpoint.SILENT_PATH
              + " HTTP/1.1\r\nHost: "
              + StandinConfiguration.HOST
              + "\r\nX-Request-Id: "
              + connection.nextRequestId()
              + "\r\nContent-Length: "
              + MAX_BODY_BYTES
              + "\r\n\r\n");
      connection.write(new byte[MAX_BODY_BYTES]);
    }
  },
  SILENT_PEERS {
    @Override
    int port(PlatformProcess vm) {
      return vm.peerPort();
    }

    @Override
    int connectionsPerClient() {
      return 16;
    }

    @Override
    void send(CrowdConnection connection) {}
  },
  SILENT_READINESS_CHECKS {
    @Override
    int port(PlatformProcess vm) {
      return vm.readyPort();
    }

    @Override
    int connectionsPerClient() {
      return 16;
    }

    @Override
    void send(CrowdConnection connection) {}
  };

  /** The largest body that the configuration of the tests allows. */
  static final int MAX_BODY_BYTES = 4_194_304;

  private static final int UNSENT_BYTES = 16_384;
  private static final int ENDLESS_KB = 16_384;
  private static final String CHUNKED = "Transfer-Encoding: chunked";
  private static final String REQUEST_LINE =
      "GET "
          + SizedEndpoint.SMALL_PATH
          + " HTTP/1.1\r\nHost: "
          + StandinConfiguration.HOST
          + "\r\n";

  /** Returns the port of the VM that the client connects to. */
  int port(PlatformProcess vm) {
    return vm.clientPort();
  }

  /** Returns the number of connections that one client keeps open. */
  int connectionsPerClient() {
    return 1;
  }

  /** Returns whether the client reads its responses. */
  boolean reads() {
    return true;
  }

  /** Writes what the client sends before it falls silent and stays. */
  abstract void send(CrowdConnection connection) throws IOException;

  /** Returns the kind of each client of a crowd in which the first kinds take turns. */
  static AbusiveClient[] mixed(int clients) {
    AbusiveClient[] kinds = new AbusiveClient[clients];
    List<AbusiveClient> mixed =
        List.copyOf(EnumSet.range(BODIES_WITH_LENGTH, READINESS_CHECKS_WITHOUT_END));
    Arrays.setAll(kinds, number -> mixed.get(number % mixed.size()));
    return kinds;
  }

  private static String post(String length) {
    return RawClient.head(
        "POST " + SizedEndpoint.SMALL_PATH + " HTTP/1.1",
        "Host: " + StandinConfiguration.HOST,
        "X-Request-Id: abusive",
        length);
  }

  private static String get(String path, String requestId) {
    return RawClient.head(
        "GET " + path + " HTTP/1.1",
        "Host: " + StandinConfiguration.HOST,
        "X-Request-Id: " + requestId);
  }
}
