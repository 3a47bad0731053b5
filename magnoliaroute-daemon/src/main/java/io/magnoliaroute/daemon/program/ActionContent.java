package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.ProblemException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * The parsed body of a caller's action request.
 *
 * @param service the name of the service pool
 * @param operation the operation to execute
 * @param arguments the JSON object that is sent to the service as the request body
 * @param key the caller's idempotency key, empty if the caller did not set one
 * @param idempotent whether the caller declared the action safe to execute more than once
 * @param timeoutMs the time within which the caller must receive a reply
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

  /**
   * Parses the JSON body of an action request.
   *
   * @param keyHeader the idempotency key from the request header, used if the body has none
   * @throws ProblemException if the body is not valid
   */
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

  /**
   * Returns the content that the intent record stores. A repeated request with the same idempotency
   * key must have equal content.
   */
  Bytes intentContent() {
    return Conversation.encode(
        new JsonObject().put("operation", operation).put("arguments", arguments));
  }

  private static ProblemException invalid(String detail) {
    return Problem.of(ProblemCode.INVALID_REQUEST, detail).asException();
  }
}
