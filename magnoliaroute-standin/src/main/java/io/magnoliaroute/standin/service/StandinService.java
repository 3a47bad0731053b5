package io.magnoliaroute.standin.service;

import io.magnoliaroute.standin.StandinServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.HashMap;
import java.util.Map;

/**
 * A plain service with non-idempotent operations: a request that is sent twice runs twice, so that
 * tests can count the executions of each key.
 *
 * <p>If fencing tokens are checked, an operation whose token is lower than the highest token
 * received for its key is refused with status 412. Status queries raise the highest token as well.
 */
public final class StandinService {

  private static final String KEY_HEADER = "Idempotency-Key";
  private static final String TOKEN_HEADER = "Magnoliaroute-Fencing-Token";
  private static final int STALE_TOKEN = 412;
  private static final int UNAVAILABLE = 503;

  private final Vertx vertx;
  private final boolean checksFencingToken;
  private final ServiceFaults faults = new ServiceFaults();
  private final Map<String, Integer> executions = new HashMap<>();
  private final Map<String, JsonObject> results = new HashMap<>();
  private final Map<String, Long> highestTokens = new HashMap<>();
  private int receivedOperations;

  /**
   * Creates a service that is not listening yet.
   *
   * @param checksFencingToken whether operations with an outdated fencing token are refused
   */
  public StandinService(Vertx vertx, boolean checksFencingToken) {
    this.vertx = vertx;
    this.checksFencingToken = checksFencingToken;
  }

  /** Starts the service on a loopback port. */
  public Future<StandinServer> start() {
    Router router = Router.router(vertx);
    router.get("/operations/status").handler(this::handleStatusQuery);
    router.post("/operations/:operation").handler(BodyHandler.create(false));
    router.post("/operations/:operation").handler(this::handleOperation);
    router
        .get("/load")
        .handler(context -> respond(context, 200, new JsonObject().put("running", 0)));
    return StandinServer.listen(vertx, router);
  }

  /** Returns the fault injection of this service. */
  public ServiceFaults faults() {
    return faults;
  }

  /** Returns the number of times that an operation with the key has taken effect. */
  public synchronized int executionsOf(String key) {
    return executions.getOrDefault(key, 0);
  }

  /** Returns the number of operations that have taken effect. */
  public synchronized int totalExecutions() {
    return executions.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the number of operations received, whether or not they took effect. */
  public synchronized int receivedOperations() {
    return receivedOperations;
  }

  private void handleOperation(RoutingContext context) {
    countReceivedOperation();
    if (faults.consumeRefusal()) {
      respond(context, UNAVAILABLE, new JsonObject().put("error", "unavailable"));
      return;
    }
    if (faults.delayMs() > 0) {
      vertx.setTimer(faults.delayMs(), timer -> execute(context));
      return;
    }
    execute(context);
  }

  private void execute(RoutingContext context) {
    String key = context.request().getHeader(KEY_HEADER);
    if (key != null && !admitToken(key, tokenOf(context))) {
      respond(context, STALE_TOKEN, new JsonObject().put("error", "stale_fencing_token"));
      return;
    }
    JsonObject result = applyOperation(context.pathParam("operation"), key);
    if (faults.hung()) {
      return;
    }
    if (faults.consumeLostResponse()) {
      context.request().connection().close();
      return;
    }
    respond(context, 200, result);
  }

  private void handleStatusQuery(RoutingContext context) {
    String key = context.request().getParam("key");
    boolean tokenAdmitted = admitToken(key, tokenOf(context));
    JsonObject result = resultOf(key);
    if (result != null) {
      respond(context, 200, new JsonObject().put("status", "done").put("result", result));
      return;
    }
    boolean isFinal = checksFencingToken && tokenAdmitted;
    respond(context, 200, new JsonObject().put("status", "did_not_run").put("final", isFinal));
  }

  private synchronized void countReceivedOperation() {
    receivedOperations++;
  }

  private synchronized boolean admitToken(String key, long token) {
    if (!checksFencingToken) {
      return true;
    }
    if (token < highestTokens.getOrDefault(key, Long.MIN_VALUE)) {
      return false;
    }
    highestTokens.put(key, token);
    return true;
  }

  private synchronized JsonObject applyOperation(String operation, String key) {
    String keyOrEmpty = key == null ? "" : key;
    int count = executions.merge(keyOrEmpty, 1, Integer::sum);
    JsonObject result =
        new JsonObject().put("operation", operation).put("executions", count).put("accepted", true);
    results.put(keyOrEmpty, result);
    return result;
  }

  private synchronized JsonObject resultOf(String key) {
    return results.get(key);
  }

  private static long tokenOf(RoutingContext context) {
    String token = context.request().getHeader(TOKEN_HEADER);
    return token == null ? Long.MIN_VALUE : Long.parseLong(token);
  }

  private static void respond(RoutingContext context, int status, JsonObject body) {
    context
        .response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(body.toBuffer());
  }
}
