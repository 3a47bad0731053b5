package io.magnoliaroute.daemon.engine;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;

/** Calls model engines in the chat-completions shape. */
public final class EngineClient {

  private static final int MAX_CONNECTIONS_PER_ENDPOINT = 1_024;

  private final Vertx vertx;
  private final HttpClient client;
  private final EngineTimeouts timeouts;

  /** Makes a client that keeps connections open between calls. */
  public EngineClient(Vertx vertx, EngineTimeouts timeouts) {
    this.vertx = vertx;
    this.timeouts = timeouts;
    HttpClientOptions options =
        new HttpClientOptions()
            .setKeepAlive(true)
            .setTcpNoDelay(true)
            .setConnectTimeout(timeouts.connectMs());
    this.client =
        vertx.createHttpClient(
            options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENDPOINT));
  }

  /**
   * Sends a call.
   *
   * @param endpoint where to
   * @param call identifies the attempt at the engine
   * @param request the caller's request
   * @param conversation the whole conversation
   * @param resumeText the answer's text so far, where an earlier attempt was cut off
   * @param listener takes the answer
   */
  public EngineCall call(
      EndpointSettings endpoint,
      CallId call,
      ChatRequest request,
      JsonArray conversation,
      String resumeText,
      EngineListener listener) {
    RequestOptions target =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(endpoint.host())
            .setPort(endpoint.port())
            .setURI("/v1/chat/completions")
            .putHeader("Content-Type", "application/json")
            .putHeader("Magnoliaroute-Call", call.toString());
    EngineCall running = new EngineCall(vertx, timeouts, listener);
    running.start(
        client.request(target),
        request.engineBody(conversation, call.program().value(), resumeText).toBuffer());
    return running;
  }
}
