package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.ProblemException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * A caller's action as it is sent.
 *
 * @param service the pool of the service
 * @param operation the operation
 * @param arguments the body for the service
 * @param key the caller's idempotency key, empty where there is none
 * @param idempotent whether the caller says that it may run twice
 * @param timeoutMs the time within which the caller wants a reply
 */
record ActionContent(
    String service,
    String operation,
    JsonObject arguments,
    String key,
    boolean idempotent,
    long timeoutMs) {

  private static final long DEFAULT_TIMEOUT_MS = 10_000;
  private static final long MAX_TIMEOUT_MS = 120_000;

  static ActionContent parse(Bytes body, String keyHeader) throws ProblemException {
    try {
      JsonObject json = Buffer.buffer(body.toArray()).toJsonObject();
      String service = json.getString("service", "");
      String operation = json.getString("operation", "");
      if (service.isEmpty() || operation.isEmpty()) {
        throw invalid("service and operation are required");
      }
      long timeoutMs = json.getLong("deadline_ms", DEFAULT_TIMEOUT_MS);
      if (timeoutMs < 1 || timeoutMs > MAX_TIMEOUT_MS) {
        throw invalid("deadline_ms must be from 1 to " + MAX_TIMEOUT_MS + ", was " + timeoutMs);
      }
      return new ActionContent(
          service,
          operation,
          json.getJsonObject("arguments", new JsonObject()),
          json.getString("idempotency_key", keyHeader),
          json.getBoolean("idempotent", false),
          timeoutMs);
    } catch (DecodeException | ClassCastException e) {
      throw invalid("the body is not an action: " + e.getMessage());
    }
  }

  /** Returns what the intent records and what a repeat of the key must equal. */
  Bytes recorded() {
    return Conversation.bytes(
        new JsonObject().put("operation", operation).put("arguments", arguments));
  }

  private static ProblemException invalid(String detail) {
    return Problem.of(ProblemCode.INVALID_REQUEST, detail).asException();
  }
}
