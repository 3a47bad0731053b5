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

/** Streams answers directly and through the daemon, a fixed number at a time. */
final class PathLoad {

  /** Tokens of an answer in the measurement of first tokens. */
  static final int PACED_TOKENS = 16;

  /** Tokens of an answer in the measurement of throughput. */
  static final int FAST_TOKENS = 2_000;

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int MAX_CONNECTIONS = 256;

  private final PathWorld world;
  private final HttpClient client;

  PathLoad(PathWorld world) {
    this.world = world;
    this.client =
        world
            .vertx()
            .createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
  }

  /** Returns the times to the first token, in microseconds, of direct calls. */
  Histogram direct(int samples, int concurrent) {
    Histogram times = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    run(samples, concurrent, () -> stream(world.pacedPort(), null, PathWorld.PACED, times));
    return times;
  }

  /** Returns the times to the first token, in microseconds, of calls through the daemon. */
  Histogram throughDaemon(int samples, int concurrent, String model) {
    Histogram times = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    run(
        samples,
        concurrent,
        () -> startProgram().compose(program -> stream(world.daemonPort(), program, model, times)));
    return times;
  }

  private interface Step {
    Future<Void> run();
  }

  private void run(int samples, int concurrent, Step step) {
    AtomicInteger left = new AtomicInteger(samples);
    List<Future<Void>> workers = new ArrayList<>();
    for (int i = 0; i < concurrent; i++) {
      Promise<Void> done = Promise.promise();
      world.vertx().runOnContext(start -> next(left, step, done));
      workers.add(done.future());
    }
    PathWorld.await(Future.all(workers));
  }

  private void next(AtomicInteger left, Step step, Promise<Void> done) {
    if (left.getAndDecrement() <= 0) {
      done.complete();
      return;
    }
    step.run().onSuccess(ran -> next(left, step, done)).onFailure(done::fail);
  }

  private Future<String> startProgram() {
    return client
        .request(options("/v1/programs", world.daemonPort()))
        .compose(request -> request.send("{}"))
        .compose(HttpClientResponse::body)
        .map(body -> body.toJsonObject().getString("program"));
  }

  private Future<Void> stream(int port, String program, String model, Histogram times) {
    JsonObject message = new JsonObject().put("role", "user").put("content", "one short prompt");
    JsonObject body =
        new JsonObject()
            .put("model", model)
            .put("max_tokens", model.equals(PathWorld.FAST) ? FAST_TOKENS : PACED_TOKENS)
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
        .compose(response -> read(response, sentNanos, times));
  }

  private static Future<Void> read(HttpClientResponse response, long sentNanos, Histogram times) {
    if (response.statusCode() != 200) {
      return response.body().compose(body -> Future.failedFuture(body.toString()));
    }
    boolean[] first = {true};
    response.handler(
        received -> {
          if (first[0]) {
            first[0] = false;
            times.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentNanos));
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
        .putHeader("Authorization", "Bearer " + PathWorld.TOKEN);
  }
}
