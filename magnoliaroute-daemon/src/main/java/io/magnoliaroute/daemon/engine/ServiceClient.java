package io.magnoliaroute.daemon.engine;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Calls plain services. Each request is sent at most once; the HTTP client repeats nothing. */
public final class ServiceClient {

  /** The header with the fencing token. */
  public static final String TOKEN_HEADER = "Magnoliaroute-Fencing-Token";

  private static final String KEY_HEADER = "Idempotency-Key";

  private final Vertx vertx;
  private final HttpClient client;
  private final EngineTimeouts timeouts;

  /**
   * Makes a client that opens a connection for each request, because a kept connection that the
   * service closes meanwhile makes it unknown whether a request was sent.
   */
  public ServiceClient(Vertx vertx, EngineTimeouts timeouts) {
    this.vertx = vertx;
    this.timeouts = timeouts;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setKeepAlive(false)
                .setTcpNoDelay(true)
                .setConnectTimeout(timeouts.connectMs()));
  }

  /** Sends one operation. Fails with {@link ServiceCallException}. */
  public Future<ServiceAnswer> operation(
      EndpointSettings endpoint,
      String operation,
      String key,
      long fencingToken,
      Bytes arguments,
      long timeoutMs) {
    RequestOptions target =
        options(endpoint, HttpMethod.POST, "/operations/" + encode(operation))
            .putHeader("Content-Type", "application/json")
            .putHeader(KEY_HEADER, key)
            .putHeader(TOKEN_HEADER, String.valueOf(fencingToken));
    return send(target, Buffer.buffer(arguments.toArray()), timeoutMs);
  }

  /** Asks what became of a key. Fails with {@link ServiceCallException}. */
  public Future<ServiceAnswer> status(EndpointSettings endpoint, String key, long fencingToken) {
    RequestOptions target =
        options(endpoint, HttpMethod.GET, "/operations/status?key=" + encode(key))
            .putHeader(TOKEN_HEADER, String.valueOf(fencingToken));
    return send(target, Buffer.buffer(), timeouts.serviceMs());
  }

  private Future<ServiceAnswer> send(RequestOptions target, Buffer body, long timeoutMs) {
    Promise<ServiceAnswer> promise = Promise.promise();
    HttpClientRequest[] opened = new HttpClientRequest[1];
    long waitMs = Math.max(1, Math.min(timeoutMs, timeouts.serviceMs()));
    long timer =
        vertx.setTimer(
            waitMs,
            fired -> {
              // Without an open connection nothing was sent, and nothing will be: the request is
              // reset when the connection opens after this.
              EngineFailure.Kind kind =
                  opened[0] == null ? EngineFailure.Kind.NOT_SENT : EngineFailure.Kind.TIMED_OUT;
              promise.tryFail(failure(kind, "no answer in " + waitMs + " ms"));
              if (opened[0] != null) {
                opened[0].reset();
              }
            });
    client
        .request(target)
        .onFailure(
            failure ->
                promise.tryFail(
                    failure(EngineFailure.Kind.NOT_SENT, String.valueOf(failure.getMessage()))))
        .onSuccess(request -> sendOn(request, body, promise, opened));
    return promise.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  private static void sendOn(
      HttpClientRequest request,
      Buffer body,
      Promise<ServiceAnswer> promise,
      HttpClientRequest[] opened) {
    if (promise.future().isComplete()) {
      request.reset();
      return;
    }
    opened[0] = request;
    request
        .send(body)
        .compose(
            response ->
                response
                    .body()
                    .map(
                        received ->
                            new ServiceAnswer(
                                response.statusCode(), Bytes.copyOf(received.getBytes()))))
        .onSuccess(promise::tryComplete)
        .onFailure(
            failure ->
                promise.tryFail(
                    failure(EngineFailure.Kind.BROKEN, String.valueOf(failure.getMessage()))));
  }

  private static ServiceCallException failure(EngineFailure.Kind kind, String detail) {
    return new ServiceCallException(new EngineFailure(kind, detail));
  }

  private static RequestOptions options(EndpointSettings endpoint, HttpMethod method, String uri) {
    return new RequestOptions()
        .setMethod(method)
        .setHost(endpoint.host())
        .setPort(endpoint.port())
        .setURI(uri);
  }

  private static String encode(String part) {
    return URLEncoder.encode(part, StandardCharsets.UTF_8);
  }
}
