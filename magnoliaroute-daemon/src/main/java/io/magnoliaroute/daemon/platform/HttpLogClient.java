package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.wire.BodyReader;
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

/**
 * HTTP client of the platform's log.
 *
 * <p>A failure before the request was sent is reported as {@link LogException.Kind#UNAVAILABLE}.
 * Any later failure counts as {@link LogException.Kind#TIMED_OUT}, because an append may have taken
 * effect, unless the status code identifies another kind.
 */
public final class HttpLogClient implements LogPort {

  private static final long TIMEOUT_MS = 2_000;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int MAX_CONNECTIONS = 64;
  private static final int MAX_RESPONSE_BYTES = 4_194_304;
  private static final long MAX_TOTAL_RESPONSE_BYTES = 16_777_216;
  private static final int STATUS_OK = 200;
  private static final int STATUS_OFFSET_EXPIRED = 410;
  private static final int STATUS_UNAVAILABLE = 503;

  private final Vertx vertx;
  private final HttpClient client;
  private final HostPort address;
  private final BodyReader bodies = new BodyReader(MAX_RESPONSE_BYTES, MAX_TOTAL_RESPONSE_BYTES);

  /** Creates a client of the log at the address. */
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
    for (Bytes record : records) {
      encoded.add(Base64.getEncoder().encodeToString(record.toArray()));
    }
    Buffer body = new JsonObject().put("records", encoded).toBuffer();
    return send(HttpMethod.POST, recordsPath(stream), body)
        .map(response -> response.getLong("first_offset"))
        .toCompletionStage();
  }

  @Override
  public CompletionStage<LogPage> read(String stream, long fromOffset, int maxRecords) {
    String query = "?from=" + fromOffset + "&max=" + maxRecords;
    return send(HttpMethod.GET, recordsPath(stream) + query, Buffer.buffer())
        .map(HttpLogClient::decodePage)
        .toCompletionStage();
  }

  private Future<JsonObject> send(HttpMethod method, String uri, Buffer body) {
    Promise<JsonObject> promise = Promise.promise();
    HttpClientRequest[] openedRequest = new HttpClientRequest[1];
    long timer =
        vertx.setTimer(
            TIMEOUT_MS,
            ignored -> {
              // Without an open request, nothing was sent and nothing will be.
              LogException.Kind kind =
                  openedRequest[0] == null
                      ? LogException.Kind.UNAVAILABLE
                      : LogException.Kind.TIMED_OUT;
              promise.tryFail(new LogException(kind, "no answer in " + TIMEOUT_MS + " ms"));
              if (openedRequest[0] != null) {
                openedRequest[0].reset();
              }
            });
    RequestOptions target =
        new RequestOptions()
            .setMethod(method)
            .setHost(address.host())
            .setPort(address.port())
            .setURI(uri);
    openRequest(target)
        .onFailure(failure -> promise.tryFail(unavailable(failure)))
        .onSuccess(request -> sendBody(request, body, promise, openedRequest));
    return promise.future().onComplete(result -> vertx.cancelTimer(timer));
  }

  /** Opens a request; a client closed by a graceful shutdown throws, which fails the future. */
  private Future<HttpClientRequest> openRequest(RequestOptions target) {
    try {
      return client.request(target);
    } catch (IllegalStateException e) {
      return Future.failedFuture(e);
    }
  }

  private void sendBody(
      HttpClientRequest request,
      Buffer body,
      Promise<JsonObject> promise,
      HttpClientRequest[] openedRequest) {
    if (promise.future().isComplete()) {
      request.reset();
      return;
    }
    openedRequest[0] = request;
    request
        .send(body)
        .compose(
            response ->
                bodies
                    .read(response)
                    .map(responseBody -> decodeResponse(response.statusCode(), responseBody)))
        .onSuccess(
            decoded -> {
              if (decoded.failure() == null) {
                promise.tryComplete(decoded.body());
              } else {
                promise.tryFail(decoded.failure());
              }
            })
        .onFailure(
            failure ->
                promise.tryFail(
                    new LogException(
                        LogException.Kind.TIMED_OUT, String.valueOf(failure.getMessage()))));
  }

  private record DecodedResponse(JsonObject body, LogException failure) {}

  private static DecodedResponse decodeResponse(int status, Buffer responseBody) {
    if (status != STATUS_OK) {
      return new DecodedResponse(null, new LogException(kindOf(status), "status " + status));
    }
    try {
      return new DecodedResponse(responseBody.toJsonObject(), null);
    } catch (DecodeException e) {
      return new DecodedResponse(
          null, new LogException(LogException.Kind.TIMED_OUT, e.getMessage()));
    }
  }

  private static LogException.Kind kindOf(int status) {
    return switch (status) {
      case STATUS_UNAVAILABLE -> LogException.Kind.UNAVAILABLE;
      case STATUS_OFFSET_EXPIRED -> LogException.Kind.OFFSET_EXPIRED;
      default -> LogException.Kind.TIMED_OUT;
    };
  }

  private static LogException unavailable(Throwable failure) {
    return new LogException(LogException.Kind.UNAVAILABLE, String.valueOf(failure.getMessage()));
  }

  private static LogPage decodePage(JsonObject response) {
    List<LogEntry> entries = new ArrayList<>();
    for (Object each : response.getJsonArray("entries")) {
      JsonObject entry = (JsonObject) each;
      byte[] payload = Base64.getDecoder().decode(entry.getString("payload"));
      entries.add(new LogEntry(entry.getLong("offset"), Bytes.copyOf(payload)));
    }
    return new LogPage(
        entries, response.getLong("next_offset"), response.getLong("first_retained_offset"));
  }

  private static String recordsPath(String stream) {
    return "/streams/" + stream + "/records";
  }
}
