package io.magnoliaroute.bench.path;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Streams responses directly and through the daemon, with a fixed number of concurrent calls. */
final class PathLoadGenerator {

  /** Tokens per response in the measurement of the time to the first token. */
  static final int PACED_RESPONSE_TOKENS = 16;

  /** Tokens per response in the measurement of throughput. */
  static final int FAST_RESPONSE_TOKENS = 2_000;

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int MAX_CONNECTIONS = 256;

  private final PathBenchmarkEnvironment environment;
  private final HttpClient client;

  PathLoadGenerator(PathBenchmarkEnvironment environment) {
    this.environment = environment;
    this.client =
        environment
            .vertx()
            .createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
  }

  /** Calls the engine directly and returns the times to the first token in microseconds. */
  Histogram runDirect(int samples, int concurrent) {
    Histogram firstTokenMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    runSamples(
        samples,
        concurrent,
        () ->
            streamResponse(
                environment.pacedPort(),
                null,
                PathBenchmarkEnvironment.PACED_MODEL,
                firstTokenMicros));
    return firstTokenMicros;
  }

  /**
   * Calls the engine of the model through the daemon, with one program for each call, and returns
   * the times to the first token in microseconds.
   */
  Histogram runThroughDaemon(int samples, int concurrent, String model) {
    Histogram firstTokenMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    runSamples(
        samples,
        concurrent,
        () ->
            startProgram()
                .compose(
                    program ->
                        streamResponse(
                            environment.daemonPort(), program, model, firstTokenMicros)));
    return firstTokenMicros;
  }

  private interface Sample {
    Future<Void> run();
  }

  private void runSamples(int samples, int concurrent, Sample sample) {
    AtomicInteger remaining = new AtomicInteger(samples);
    List<Future<Void>> workers = new ArrayList<>();
    for (int i = 0; i < concurrent; i++) {
      Promise<Void> done = Promise.promise();
      environment.vertx().runOnContext(start -> runNext(remaining, sample, done));
      workers.add(done.future());
    }
    PathBenchmarkEnvironment.await(Future.all(workers));
  }

  private void runNext(AtomicInteger remaining, Sample sample, Promise<Void> done) {
    if (remaining.getAndDecrement() <= 0) {
      done.complete();
      return;
    }
    sample.run().onSuccess(ran -> runNext(remaining, sample, done)).onFailure(done::fail);
  }

  private Future<String> startProgram() {
    return client
        .request(options("/v1/programs", environment.daemonPort()))
        .compose(request -> request.send("{}"))
        .compose(HttpClientResponse::body)
        .map(body -> body.toJsonObject().getString("program"));
  }

  private Future<Void> streamResponse(
      int port, String program, String model, Histogram firstTokenMicros) {
    JsonObject message = new JsonObject().put("role", "user").put("content", "one short prompt");
    JsonObject body =
        new JsonObject()
            .put("model", model)
            .put(
                "max_tokens",
                model.equals(PathBenchmarkEnvironment.FAST_MODEL)
                    ? FAST_RESPONSE_TOKENS
                    : PACED_RESPONSE_TOKENS)
            .put("stream", true)
            .put("messages", new JsonArray().add(message));
    RequestOptions options = options("/v1/chat/completions", port);
    if (program != null) {
      options.putHeader("Magnoliaroute-Program", program);
    }
    long sentNanos = System.nanoTime();
    return client
        .request(options)
        .compose(request -> request.send(body.toBuffer()))
        .compose(response -> readResponse(response, sentNanos, firstTokenMicros));
  }

  private static Future<Void> readResponse(
      HttpClientResponse response, long sentNanos, Histogram firstTokenMicros) {
    if (response.statusCode() != 200) {
      return response.body().compose(body -> Future.failedFuture(body.toString()));
    }
    boolean[] first = {true};
    response.handler(
        received -> {
          if (first[0]) {
            first[0] = false;
            firstTokenMicros.recordValue(
                TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentNanos));
          }
        });
    return response.end();
  }

  private static RequestOptions options(String uri, int port) {
    return new RequestOptions()
        .setMethod(HttpMethod.POST)
        .setHost("127.0.0.1")
        .setPort(port)
        .setURI(uri)
        .putHeader("Authorization", "Bearer " + PathBenchmarkEnvironment.TEAM_TOKEN);
  }
}
