package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.settings.HostPort;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's log over HTTP. */
public final class HttpLogClient implements LogPort {

  private static final long TIMEOUT_MS = 2_000;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int MAX_CONNECTIONS = 64;
  private static final int OK = 200;
  private static final int OFFSET_EXPIRED = 410;
  private static final int UNAVAILABLE = 503;

  private final Vertx vertx;
  private final HttpClient client;
  private final HostPort address;

  /** Makes a client of the log at the address. */
  public HttpLogClient(Vertx vertx, HostPort address) {
    this.vertx = vertx;
    this.address = address;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true),
            new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
  }

  @Override
  public CompletionStage<Long> append(String stream, List<Bytes> records) {
    JsonArray encoded = new JsonArray();
    for (Bytes each : records) {
      encoded.add(Base64.getEncoder().encodeToString(each.toArray()));
    }
    Buffer body = new JsonObject().put("records", encoded).toBuffer();
    return send(HttpMethod.POST, path(stream), body)
        .map(answer -> answer.getLong("first_offset"))
        .toCompletionStage();
  }

  @Override
  public CompletionStage<LogPage> read(String stream, long fromOffset, int maxRecords) {
    String query = "?from=" + fromOffset + "&max=" + maxRecords;
    return send(HttpMethod.GET, path(stream) + query, Buffer.buffer())
        .map(HttpLogClient::page)
        .toCompletionStage();
  }

  private Future<JsonObject> send(HttpMethod method, String uri, Buffer body) {
    Promise<JsonObject> promise = Promise.promise();
    HttpClientRequest[] opened = new HttpClientRequest[1];
    long timer =
        vertx.setTimer(
            TIMEOUT_MS,
            fired -> {
              // Without an open connection nothing was sent, and nothing will be.
              LogException.Kind kind =
                  opened[0] == null ? LogException.Kind.UNAVAILABLE : LogException.Kind.TIMED_OUT;
              promise.tryFail(new LogException(kind, "no answer in " + TIMEOUT_MS + " ms"));
              if (opened[0] != null) {
                opened[0].reset();
              }
            });
    RequestOptions target =
        new RequestOptions()
            .setMethod(method)
            .setHost(address.host())
            .setPort(address.port())
            .setURI(uri);
    open(target)
        .onFailure(failure -> promise.tryFail(unavailable(failure)))
        .onSuccess(request -> sendOn(request, body, promise, opened));
    return promise.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  /** A client that was closed by a planned stop refuses with an exception. */
  private Future<HttpClientRequest> open(RequestOptions target) {
    try {
      return client.request(target);
    } catch (IllegalStateException e) {
      return Future.failedFuture(e);
    }
  }

  private static void sendOn(
      HttpClientRequest request,
      Buffer body,
      Promise<JsonObject> promise,
      HttpClientRequest[] opened) {
    if (promise.future().isComplete()) {
      request.reset();
      return;
    }
    opened[0] = request;
    request
        .send(body)
        .compose(
            response -> response.body().map(received -> answer(response.statusCode(), received)))
        .onSuccess(
            answer -> {
              if (answer.failure() == null) {
                promise.tryComplete(answer.body());
              } else {
                promise.tryFail(answer.failure());
              }
            })
        .onFailure(
            failure ->
                promise.tryFail(
                    new LogException(
                        LogException.Kind.TIMED_OUT, String.valueOf(failure.getMessage()))));
  }

  private record Answer(JsonObject body, LogException failure) {}

  private static Answer answer(int status, Buffer received) {
    if (status != OK) {
      return new Answer(null, new LogException(kindOf(status), "status " + status));
    }
    try {
      return new Answer(received.toJsonObject(), null);
    } catch (DecodeException e) {
      return new Answer(null, new LogException(LogException.Kind.TIMED_OUT, e.getMessage()));
    }
  }

  private static LogException.Kind kindOf(int status) {
    return switch (status) {
      case UNAVAILABLE -> LogException.Kind.UNAVAILABLE;
      case OFFSET_EXPIRED -> LogException.Kind.OFFSET_EXPIRED;
      default -> LogException.Kind.TIMED_OUT;
    };
  }

  private static LogException unavailable(Throwable failure) {
    return new LogException(LogException.Kind.UNAVAILABLE, String.valueOf(failure.getMessage()));
  }

  private static LogPage page(JsonObject answer) {
    List<LogEntry> entries = new ArrayList<>();
    for (Object each : answer.getJsonArray("entries")) {
      JsonObject entry = (JsonObject) each;
      byte[] payload = Base64.getDecoder().decode(entry.getString("payload"));
      entries.add(new LogEntry(entry.getLong("offset"), Bytes.copyOf(payload)));
    }
    return new LogPage(
        entries, answer.getLong("next_offset"), answer.getLong("first_retained_offset"));
  }

  private static String path(String stream) {
    return "/streams/" + stream + "/records";
  }
}
