package io.magnoliaroute.daemon.gateway;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Map;

/** Sends the requests of tests to VMs in the same process. */
final class TestHttpClient {

  private final HttpClient client;
  private final Context context;

  TestHttpClient(Vertx vertx) {
    client = vertx.createHttpClient();
    context = vertx.getOrCreateContext();
  }

  /** Sends a request; fails if the connection is closed before the response is complete. */
  Future<GatewayTestEnvironment.Response> send(
      int port, HttpMethod method, String path, Map<String, String> headers) {
    return send(port, method, path, headers, Buffer.buffer());
  }

  /** Sends a request with a body; fails if the connection is closed before the response ends. */
  Future<GatewayTestEnvironment.Response> send(
      int port, HttpMethod method, String path, Map<String, String> headers, Buffer body) {
    RequestOptions options =
        new RequestOptions().setHost("127.0.0.1").setPort(port).setMethod(method).setURI(path);
    Promise<GatewayTestEnvironment.Response> result = Promise.promise();
    // The body handler is set on the event loop; set later, it could miss chunks of the body.
    context.runOnContext(
        run ->
            client
                .request(options)
                .compose(
                    request -> {
                      headers.forEach(request::putHeader);
                      return request.send(body).compose(TestHttpClient::toResponse);
                    })
                .onComplete(result));
    return result.future();
  }

  private static Future<GatewayTestEnvironment.Response> toResponse(HttpClientResponse response) {
    return response
        .body()
        .map(
            body ->
                new GatewayTestEnvironment.Response(
                    response.statusCode(), response.headers(), body.toString()));
  }
}
