package io.magnoliaroute.daemon.engine;

import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.wire.BodyReader;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;

/** Lists and releases prefix-cache entries of model engines. */
public final class EngineCacheClient {

  private static final long TIMEOUT_MS = 1_000;
  private static final int OK = 200;

  /** Limit of one response. */
  private static final int MAX_RESPONSE_BYTES = 4_194_304;

  /** Limit of all responses that are being read. */
  private static final long MAX_TOTAL_RESPONSE_BYTES = 16_777_216;

  private final HttpClient client;
  private final BodyReader bodies = new BodyReader(MAX_RESPONSE_BYTES, MAX_TOTAL_RESPONSE_BYTES);

  /**
   * Creates a client that opens a new connection for each request, as {@link EngineClient} does.
   */
  public EngineCacheClient(Vertx vertx, EndpointTimeouts timeouts) {
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setKeepAlive(false)
                .setConnectTimeout(timeouts.connectMs())
                .setTcpNoDelay(true));
  }

  /** Returns the number of tokens that the engine has cached for each cache key. */
  public Future<Map<String, Integer>> listCachedTokens(EndpointSettings endpoint) {
    return sendRequest(endpoint, HttpMethod.GET, "/v1/cache")
        .map(
            body -> {
              Map<String, Integer> tokensByKey = new LinkedHashMap<>();
              for (Object element : body.getJsonArray("entries")) {
                JsonObject entry = (JsonObject) element;
                tokensByKey.put(entry.getString("key"), entry.getInteger("tokens"));
              }
              return tokensByKey;
            });
  }

  /** Releases the prefix cache that the engine holds for the program. */
  public Future<Void> release(EndpointSettings endpoint, ProgramId program) {
    return sendRequest(endpoint, HttpMethod.POST, "/v1/cache/" + program.value() + "/release")
        .mapEmpty();
  }

  private Future<JsonObject> sendRequest(EndpointSettings endpoint, HttpMethod method, String uri) {
    RequestOptions target =
        new RequestOptions()
            .setMethod(method)
            .setHost(endpoint.host())
            .setPort(endpoint.port())
            .setURI(uri)
            .setTimeout(TIMEOUT_MS)
            .setIdleTimeout(TIMEOUT_MS);
    return client
        .request(target)
        .compose(request -> request.send())
        .compose(
            response -> {
              if (response.statusCode() != OK) {
                response.request().reset();
                return Future.failedFuture(
                    "cache request failed with HTTP status " + response.statusCode());
              }
              return bodies.read(response, TIMEOUT_MS).map(body -> body.toJsonObject());
            });
  }
}
