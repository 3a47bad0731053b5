package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.action.SendFailure;
import io.magnoliaroute.core.action.StatusResponse;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.daemon.engine.EndpointFailure;
import io.magnoliaroute.daemon.engine.ServiceCallException;
import io.magnoliaroute.daemon.engine.ServiceClient;
import io.magnoliaroute.daemon.engine.ServiceResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.OptionalLong;

/** Sends actions to plain services and interprets their responses. */
final class ServiceGateway {

  private static final int STALE_TOKEN_STATUS = 412;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final long NO_TOKEN = 0;

  private final ServiceClient client;

  ServiceGateway(ServiceClient client) {
    this.client = client;
  }

  /** The response to an action, or the reason why sending failed; exactly one is set. */
  record SendResult(Bytes result, SendFailure failure) {}

  /**
   * Returns the idempotency key that is sent to the service. The program's id precedes the caller's
   * key, so that keys of different programs do not collide.
   */
  static String serviceKey(ProgramId program, String key) {
    return program + "/" + key;
  }

  /**
   * Sends the action once, without retries. The future never fails; failures are part of the
   * result.
   */
  Future<SendResult> send(
      EndpointSettings endpoint,
      ActionContent content,
      String serviceKey,
      OptionalLong token,
      long timeoutMs) {
    return client
        .executeOperation(
            endpoint,
            content.operation(),
            serviceKey,
            token.orElse(NO_TOKEN),
            Conversation.encode(content.arguments()),
            timeoutMs)
        .map(ServiceGateway::toSendResult)
        .otherwise(failure -> new SendResult(null, failureOf(failure)));
  }

  /**
   * Queries the status of an operation at one endpoint after the other until one responds;
   * inconclusive if none does.
   */
  Future<StatusResponse> queryStatus(PoolSettings pool, String serviceKey, long token) {
    return queryStatusFrom(pool.endpoints(), 0, serviceKey, token);
  }

  private Future<StatusResponse> queryStatusFrom(
      List<EndpointSettings> endpoints, int index, String serviceKey, long token) {
    if (index >= endpoints.size()) {
      return Future.succeededFuture(new StatusResponse.Inconclusive());
    }
    return client
        .queryStatus(endpoints.get(index), serviceKey, token)
        .map(ServiceGateway::toStatusResponse)
        .recover(failure -> queryStatusFrom(endpoints, index + 1, serviceKey, token));
  }

  private static SendResult toSendResult(ServiceResponse response) {
    if (response.status() == STALE_TOKEN_STATUS) {
      return new SendResult(null, SendFailure.STALE_TOKEN);
    }
    if (response.status() >= FIRST_SERVER_ERROR) {
      // A server error does not show whether the operation took effect before the fault.
      return new SendResult(null, SendFailure.LOST);
    }
    JsonObject result =
        new JsonObject().put("status", response.status()).put("body", decodeBody(response.body()));
    return new SendResult(Conversation.encode(result), null);
  }

  private static SendFailure failureOf(Throwable failure) {
    boolean notSent =
        failure instanceof ServiceCallException callException
            && callException.failure().kind() == EndpointFailure.Kind.NOT_SENT;
    return notSent ? SendFailure.NOT_SENT : SendFailure.LOST;
  }

  private static StatusResponse toStatusResponse(ServiceResponse response) {
    try {
      JsonObject json = Buffer.buffer(response.body().toArray()).toJsonObject();
      if (response.status() != 200) {
        return new StatusResponse.Inconclusive();
      }
      return switch (json.getString("status", "")) {
        case "done" -> {
          JsonObject result =
              new JsonObject().put("status", 200).put("body", json.getValue("result"));
          yield new StatusResponse.Executed(Conversation.encode(result));
        }
        case "did_not_run" -> new StatusResponse.NotExecuted();
        default -> new StatusResponse.Inconclusive();
      };
    } catch (DecodeException | ClassCastException e) {
      return new StatusResponse.Inconclusive();
    }
  }

  private static Object decodeBody(Bytes body) {
    try {
      return body.sizeBytes() == 0 ? null : Json.decodeValue(body.toUtf8());
    } catch (DecodeException e) {
      return body.toUtf8();
    }
  }
}
