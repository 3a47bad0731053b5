package io.magnoliaroute.standin.engine;

import io.magnoliaroute.standin.StandinServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * A model engine with a chat completions API over HTTP. Admits calls in order of arrival without
 * priorities and caches the latest prompt of each {@code prompt_cache_key}.
 */
public final class StandinEngine {

  private static final int STALE_TOKEN = 412;
  private static final int NOT_FOUND = 404;
  private static final long MAX_BODY_BYTES = 32L * 1024 * 1024;

  private final Vertx vertx;
  private final EngineOptions options;
  private final EngineFaults faults = new EngineFaults();
  private final PrefixCache cache = new PrefixCache();
  private final Deque<EngineCall> waiting = new ArrayDeque<>();
  private final Map<String, EngineCall> running = new HashMap<>();
  private final Set<String> models = new LinkedHashSet<>();
  private long highestFencingToken = Long.MIN_VALUE;
  private int completedCalls;
  private int receivedCalls;
  private long processedTokens;

  /** Creates an engine that is not listening yet. */
  public StandinEngine(Vertx vertx, EngineOptions options) {
    this.vertx = vertx;
    this.options = options;
    models.add(options.model());
  }

  /** Starts the engine on a loopback port. */
  public Future<StandinServer> start() {
    Router router = Router.router(vertx);
    router.post().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
    router.post("/v1/chat/completions").handler(this::handleCompletion);
    router.post("/v1/calls/:id/cancel").handler(this::cancel);
    router.get("/v1/cache").handler(this::listCache);
    router.get("/v1/cache/events").handler(this::listCacheEvents);
    router.post("/v1/cache/:key/release").handler(this::releaseCache);
    router.get("/v1/load").handler(this::reportLoad);
    router.get("/v1/models").handler(this::listModels);
    router.post("/v1/models/load").handler(this::loadModel);
    return StandinServer.listen(vertx, router);
  }

  /** Returns the fault injection of this engine. */
  public EngineFaults faults() {
    return faults;
  }

  /** Returns the keys of all cached prompts. */
  public Set<String> cachedKeys() {
    return Set.copyOf(cache.listing().keySet());
  }

  /** Returns the number of calls that have ended, including cancelled ones. */
  public synchronized int completedCalls() {
    return completedCalls;
  }

  /** Returns the number of calls that the engine has received. */
  public synchronized int receivedCalls() {
    return receivedCalls;
  }

  /** Returns the number of calls that occupy a slot. */
  public synchronized int runningCalls() {
    return running.size();
  }

  /** Returns the number of prompt and generated tokens that all calls have processed so far. */
  public synchronized long processedTokens() {
    return processedTokens + running.values().stream().mapToLong(EngineCall::processedTokens).sum();
  }

  private void handleCompletion(RoutingContext context) {
    EngineCall[] self = new EngineCall[1];
    EngineCall call =
        new EngineCall(vertx, context, options, faults, () -> handleCallEnd(self[0], context));
    self[0] = call;
    countReceivedCall();
    if (faults.crashesOn(call.lastMessage())) {
      context.request().connection().close();
      return;
    }
    context.response().closeHandler(closed -> call.end());
    if (admit(call)) {
      start(call);
    }
  }

  private void start(EngineCall call) {
    call.start(cache.store(call.cacheKey(), call.messages()));
    publishCacheEvent("stored", call.cacheKey(), call.totalTokens());
  }

  private synchronized void countReceivedCall() {
    receivedCalls++;
  }

  private synchronized boolean admit(EngineCall call) {
    if (running.size() >= options.slots()) {
      waiting.add(call);
      return false;
    }
    running.put(call.id(), call);
    return true;
  }

  private void handleCallEnd(EngineCall call, RoutingContext context) {
    EngineCall next = releaseSlot(call);
    if (next != null) {
      context.vertx().runOnContext(ignored -> start(next));
    }
  }

  private synchronized EngineCall releaseSlot(EngineCall call) {
    completedCalls++;
    waiting.remove(call);
    processedTokens += call.processedTokens();
    if (!running.remove(call.id(), call) || waiting.isEmpty()) {
      return null;
    }
    EngineCall next = waiting.poll();
    running.put(next.id(), next);
    return next;
  }

  private void cancel(RoutingContext context) {
    EngineCall call = runningCall(context.pathParam("id"));
    if (call != null) {
      call.cancel();
    }
    respond(
        context, call == null ? NOT_FOUND : 200, new JsonObject().put("cancelled", call != null));
  }

  private synchronized EngineCall runningCall(String id) {
    return running.get(id);
  }

  private void publishCacheEvent(String kind, String key, int tokens) {
    if (faults.dropsCacheEvents()) {
      return;
    }
    if (faults.cacheEventDelayMs() > 0) {
      vertx.setTimer(faults.cacheEventDelayMs(), timer -> cache.publish(kind, key, tokens));
      return;
    }
    cache.publish(kind, key, tokens);
  }

  private void listCache(RoutingContext context) {
    JsonArray entries = new JsonArray();
    cache
        .listing()
        .forEach(
            (key, tokens) -> entries.add(new JsonObject().put("key", key).put("tokens", tokens)));
    respond(context, 200, new JsonObject().put("entries", entries));
  }

  private void listCacheEvents(RoutingContext context) {
    JsonArray events = new JsonArray();
    long from = Long.parseLong(context.request().getParam("from", "0"));
    for (PrefixCache.CacheEvent event : cache.eventsFrom(from)) {
      events.add(
          new JsonObject()
              .put("sequence", event.sequence())
              .put("kind", event.kind())
              .put("key", event.key())
              .put("tokens", event.tokens()));
    }
    respond(context, 200, new JsonObject().put("events", events));
  }

  private void releaseCache(RoutingContext context) {
    String key = context.pathParam("key");
    boolean released = cache.release(key);
    if (released) {
      publishCacheEvent("removed", key, 0);
    }
    respond(context, 200, new JsonObject().put("released", released));
  }

  private void reportLoad(RoutingContext context) {
    respond(context, 200, loadReport());
  }

  private synchronized JsonObject loadReport() {
    return new JsonObject().put("running", running.size()).put("waiting", waiting.size());
  }

  private void listModels(RoutingContext context) {
    JsonArray data = new JsonArray();
    modelNames().forEach(model -> data.add(new JsonObject().put("id", model)));
    respond(context, 200, new JsonObject().put("object", "list").put("data", data));
  }

  private synchronized Set<String> modelNames() {
    return Set.copyOf(models);
  }

  private void loadModel(RoutingContext context) {
    JsonObject request = context.body().asJsonObject();
    boolean accepted =
        applyModelLoad(request.getString("model"), request.getLong("fencing_token", 0L));
    respond(context, accepted ? 200 : STALE_TOKEN, new JsonObject().put("accepted", accepted));
  }

  private synchronized boolean applyModelLoad(String model, long token) {
    if (options.checksFencingToken() && token < highestFencingToken) {
      return false;
    }
    highestFencingToken = Math.max(highestFencingToken, token);
    models.add(model);
    return true;
  }

  private static void respond(RoutingContext context, int status, JsonObject body) {
    context
        .response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(body.toBuffer());
  }
}
