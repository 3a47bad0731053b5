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

/** Keeps partitions in memory and speaks the store's calls. */
public final class StandInStore {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 412;
  private static final int UNAVAILABLE = 503;
  private static final long POLL_MS = 5;

  private final Vertx vertx;
  private final Map<String, List<byte[]>> partitions = new HashMap<>();
  private HttpServer server;
  private Fault fault = Fault.NONE;

  /** What is wrong with the store. */
  public enum Fault {
    /** Nothing. */
    NONE,
    /** It refuses every call. */
    DOWN,
    /** It answers nothing. */
    SILENT,
    /** It does what it is told and does not answer. */
    ANSWERS_LOST
  }

  /** Makes an empty store. */
  public StandInStore(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Starts listening; returns the port. */
  public Future<Integer> start() {
    server = vertx.createHttpServer();
    return server.requestHandler(this::handle).listen(0, "127.0.0.1").map(HttpServer::actualPort);
  }

  /** Sets what is wrong from now on. */
  public synchronized void setFault(Fault newFault) {
    fault = newFault;
  }

  /** Writes the newest record of a key, as the operator and the endpoints do. */
  public synchronized void put(String topic, String key, String value) {
    partition(topic, "0").add(record(key, value.getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns how many records a partition has. */
  public synchronized int size(String topic, int part) {
    return partition(topic, String.valueOf(part)).size();
  }

  private void handle(HttpServerRequest request) {
    request.body().onSuccess(body -> answer(request, body));
  }

  private synchronized void answer(HttpServerRequest request, Buffer body) {
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
          .setStatusCode(conflict ? CONFLICT : OK)
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
    JsonArray all = new JsonArray(new ArrayList<>(items.values()));
    request
        .response()
        .end(
            new JsonObject()
                .put("items", all)
                .put("has_more", false)
                .put("end", partition.size())
                .toBuffer());
  }

  private synchronized void read(HttpServerRequest request, List<byte[]> partition, long waitMs) {
    int from = Integer.parseInt(request.getParam("from"));
    if (from >= partition.size() && waitMs > 0) {
      vertx.setTimer(POLL_MS, fired -> read(request, partition, waitMs - POLL_MS));
      return;
    }
    Buffer page = Buffer.buffer().appendLong(partition.size()).appendLong(0);
    for (int offset = from; offset < partition.size(); offset++) {
      byte[] content = partition.get(offset);
      page.appendInt(content.length).appendBytes(content);
    }
    request.response().end(page);
  }

  private static long waitMs(HttpServerRequest request) {
    String wait = request.getParam("wait_ms");
    return wait == null ? 0 : Long.parseLong(wait);
  }

  private List<byte[]> partition(String topic, String part) {
    return partitions.computeIfAbsent(topic + "/" + part, name -> new ArrayList<>());
  }

  private static byte[] record(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    return Buffer.buffer()
        .appendByte((byte) name.length)
        .appendBytes(name)
        .appendBytes(value)
        .getBytes();
  }
}
