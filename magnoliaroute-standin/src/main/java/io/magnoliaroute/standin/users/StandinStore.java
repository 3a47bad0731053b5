package io.magnoliaroute.standin.users;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A store that keeps its partitions in memory and implements the store's HTTP API. */
public final class StandinStore {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;
  private static final int UNAVAILABLE = 503;
  private static final long POLL_INTERVAL_MS = 5;

  private final Vertx vertx;
  private final Map<String, List<byte[]>> partitions = new HashMap<>();
  private final Map<String, Integer> firstRetained = new HashMap<>();
  private HttpServer server;
  private Fault fault = Fault.NONE;

  /** A fault of the store. */
  public enum Fault {
    /** No fault. */
    NONE,
    /** Refuses every call. */
    DOWN,
    /** Never responds and ignores every call, also reads that are waiting for records. */
    SILENT,
    /** Executes appends but never responds to them. */
    ANSWERS_LOST
  }

  /** Creates an empty store. */
  public StandinStore(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Starts listening on an ephemeral port and returns the port. */
  public Future<Integer> start() {
    server = vertx.createHttpServer();
    return server.requestHandler(this::handle).listen(0, "127.0.0.1").map(HttpServer::actualPort);
  }

  /** Sets the fault that applies to all further calls. */
  public synchronized void setFault(Fault newFault) {
    fault = newFault;
  }

  /** Appends a record for the key to partition 0, as the operator and the endpoints do. */
  public synchronized void put(String topic, String key, String value) {
    put(topic, key, value.getBytes(StandardCharsets.UTF_8));
  }

  /** Appends a record for the key to partition 0. */
  public synchronized void put(String topic, String key, byte[] value) {
    partition(topic, "0").add(record(key, value));
  }

  /** Drops the history of a partition; only the newest record of each key can still be listed. */
  public synchronized void dropHistory(String topic, int part) {
    firstRetained.put(topic + "/" + part, recordCount(topic, part));
  }

  /** Returns the number of records in a partition. */
  public synchronized int recordCount(String topic, int part) {
    return partition(topic, String.valueOf(part)).size();
  }

  private void handle(HttpServerRequest request) {
    request.body().onSuccess(body -> dispatch(request, body));
  }

  private synchronized void dispatch(HttpServerRequest request, Buffer body) {
    if (fault == Fault.SILENT) {
      return;
    }
    if (fault == Fault.DOWN) {
      request.response().setStatusCode(UNAVAILABLE).end();
      return;
    }
    List<byte[]> partition = partition(request.getParam("topic"), request.getParam("part"));
    switch (request.path()) {
      case "/-/log-append" -> append(request, partition, body);
      case "/-/log-newest" -> newest(request, partition);
      case "/-/log-read" -> read(request, partition, waitMs(request));
      default -> request.response().setStatusCode(NOT_FOUND).end();
    }
  }

  private void append(HttpServerRequest request, List<byte[]> partition, Buffer body) {
    String at = request.getParam("at");
    boolean conflict = at != null && Long.parseLong(at) != partition.size();
    int offset = partition.size();
    int position = 0;
    while (!conflict && position < body.length()) {
      int length = body.getInt(position);
      partition.add(body.getBytes(position + 4, position + 4 + length));
      position += 4 + length;
    }
    if (fault != Fault.ANSWERS_LOST) {
      request
          .response()
          .setStatusCode(conflict ? PRECONDITION_FAILED : OK)
          .end(new JsonObject().put("offset", offset).put("end", partition.size()).toBuffer());
    }
  }

  private void newest(HttpServerRequest request, List<byte[]> partition) {
    Map<String, JsonObject> items = new LinkedHashMap<>();
    for (int offset = 0; offset < partition.size(); offset++) {
      byte[] content = partition.get(offset);
      int keyLength = content[0] & 0xff;
      String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
      items.remove(key);
      if (content.length > 1 + keyLength) {
        byte[] value = java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length);
        items.put(
            key,
            new JsonObject()
                .put("key", key)
                .put("value", Base64.getEncoder().encodeToString(value))
                .put("offset", offset));
      }
    }
    JsonArray itemList = new JsonArray(new ArrayList<>(items.values()));
    request
        .response()
        .end(
            new JsonObject()
                .put("items", itemList)
                .put("has_more", false)
                .put("end", partition.size())
                .toBuffer());
  }

  private synchronized void read(HttpServerRequest request, List<byte[]> partition, long waitMs) {
    int from = Integer.parseInt(request.getParam("from"));
    if (fault == Fault.SILENT) {
      return;
    }
    String name = request.getParam("topic") + "/" + request.getParam("part");
    int first = firstRetained.getOrDefault(name, 0);
    if (from < first) {
      request.response().setStatusCode(GONE).end(new JsonObject().put("first", first).toBuffer());
      return;
    }
    if (from >= partition.size() && waitMs > 0) {
      vertx.setTimer(
          POLL_INTERVAL_MS, timer -> read(request, partition, waitMs - POLL_INTERVAL_MS));
      return;
    }
    Buffer page = Buffer.buffer().appendLong(partition.size()).appendLong(first);
    for (int offset = from; offset < partition.size(); offset++) {
      byte[] content = partition.get(offset);
      page.appendInt(content.length).appendBytes(content);
    }
    request.response().end(page);
  }

  private static long waitMs(HttpServerRequest request) {
    String waitParam = request.getParam("wait_ms");
    return waitParam == null ? 0 : Long.parseLong(waitParam);
  }

  private List<byte[]> partition(String topic, String part) {
    return partitions.computeIfAbsent(topic + "/" + part, name -> new ArrayList<>());
  }

  private static byte[] record(String key, byte[] value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    return Buffer.buffer()
        .appendByte((byte) keyBytes.length)
        .appendBytes(keyBytes)
        .appendBytes(value)
        .getBytes();
  }
}
