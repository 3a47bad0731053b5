package io.magnoliaroute.daemon.engine;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.wire.BodyReader;
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

/** Calls plain services. Each request is sent at most once; the HTTP client does not retry. */
public final class ServiceClient {

  /** The request header that carries the fencing token. */
  public static final String FENCING_TOKEN_HEADER = "Magnoliaroute-Fencing-Token";

  /** Limit of one response. */
  private static final int MAX_RESPONSE_BYTES = 4_194_304;

  /** Limit of all responses that are being read. */
  private static final long MAX_TOTAL_RESPONSE_BYTES = 16_777_216;

  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

  private final Vertx vertx;
  private final HttpClient client;
  private final EndpointTimeouts timeouts;
  private final BodyReader bodies = new BodyReader(MAX_RESPONSE_BYTES, MAX_TOTAL_RESPONSE_BYTES);

  /**
   * Creates a client that opens a new connection for each request. If the service closed a
   * keep-alive connection meanwhile, it would be unknown whether the request was sent.
   */
  public ServiceClient(Vertx vertx, EndpointTimeouts timeouts) {
    this.vertx = vertx;
    this.timeouts = timeouts;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setKeepAlive(false)
                .setTcpNoDelay(true)
                .setConnectTimeout(timeouts.connectMs()));
  }

  /**
   * Requests the execution of an operation. The future fails with {@link ServiceCallException}.
   *
   * @param endpoint the service instance to call
   * @param operation the name of the operation
   * @param key the idempotency key
   * @param fencingToken the token with which the service rejects requests of a former owner
   * @param arguments the JSON request body
   * @param timeoutMs the timeout for the response, limited to {@link EndpointTimeouts#serviceMs()}
   */
  public Future<ServiceResponse> executeOperation(
      EndpointSettings endpoint,
      String operation,
      String key,
      long fencingToken,
      Bytes arguments,
      long timeoutMs) {
    RequestOptions target =
        requestOptions(endpoint, HttpMethod.POST, "/operations/" + encode(operation))
            .putHeader("Content-Type", "application/json")
            .putHeader(IDEMPOTENCY_KEY_HEADER, key)
            .putHeader(FENCING_TOKEN_HEADER, String.valueOf(fencingToken));
    return send(target, Buffer.buffer(arguments.toArray()), timeoutMs);
  }

  /**
   * Queries the execution status of the operation with the idempotency key. The future fails with
   * {@link ServiceCallException}.
   */
  public Future<ServiceResponse> queryStatus(
      EndpointSettings endpoint, String key, long fencingToken) {
    RequestOptions target =
        requestOptions(endpoint, HttpMethod.GET, "/operations/status?key=" + encode(key))
            .putHeader(FENCING_TOKEN_HEADER, String.valueOf(fencingToken));
    return send(target, Buffer.buffer(), timeouts.serviceMs());
  }

  private Future<ServiceResponse> send(RequestOptions target, Buffer body, long timeoutMs) {
    Promise<ServiceResponse> promise = Promise.promise();
    HttpClientRequest[] openRequest = new HttpClientRequest[1];
    long waitMs = Math.max(1, Math.min(timeoutMs, timeouts.serviceMs()));
    long timer =
        vertx.setTimer(
            waitMs,
            fired -> {
              // Without an open connection the request has not been sent. It will not be sent
              // later either, because it is reset if the connection opens after the timeout.
              EndpointFailure.Kind kind =
                  openRequest[0] == null
                      ? EndpointFailure.Kind.NOT_SENT
                      : EndpointFailure.Kind.TIMED_OUT;
              promise.tryFail(callFailure(kind, "no response within " + waitMs + " ms"));
              if (openRequest[0] != null) {
                openRequest[0].reset();
              }
            });
    client
        .request(target)
        .onFailure(
            failure ->
                promise.tryFail(
                    callFailure(
                        EndpointFailure.Kind.NOT_SENT, String.valueOf(failure.getMessage()))))
        .onSuccess(request -> sendOnConnection(request, body, promise, openRequest));
    return promise.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  private void sendOnConnection(
      HttpClientRequest request,
      Buffer body,
      Promise<ServiceResponse> promise,
      HttpClientRequest[] openRequest) {
    if (promise.future().isComplete()) {
      request.reset();
      return;
    }
    openRequest[0] = request;
    request
        .send(body)
        .compose(
            response ->
                bodies
                    .read(response)
                    .map(
                        received ->
                            new ServiceResponse(
                                response.statusCode(), Bytes.copyOf(received.getBytes()))))
        .onSuccess(promise::tryComplete)
        .onFailure(
            failure ->
                promise.tryFail(
                    callFailure(
                        EndpointFailure.Kind.BROKEN, String.valueOf(failure.getMessage()))));
  }

  private static ServiceCallException callFailure(EndpointFailure.Kind kind, String detail) {
    return new ServiceCallException(new EndpointFailure(kind, detail));
  }

  private static RequestOptions requestOptions(
      EndpointSettings endpoint, HttpMethod method, String uri) {
    return new RequestOptions()
        .setMethod(method)
        .setHost(endpoint.host())
        .setPort(endpoint.port())
        .setURI(uri);
  }

  private static String encode(String value) {
    return URLEncoder.encode(value, StandardCharsets.UTF_8);
  }
}
