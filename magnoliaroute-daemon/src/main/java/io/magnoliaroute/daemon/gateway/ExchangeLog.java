package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptFailure;
import io.magnoliaroute.core.gateway.AttemptHistory;
import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.LossEvidence;
import io.magnoliaroute.core.gateway.RequestMetadata;
import io.magnoliaroute.core.gateway.RetryAction;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.platform.ResponseHead;
import java.util.Map;
import java.util.Optional;

/** Writes the decision log's lines about the attempts of one request. */
final class ExchangeLog {

  private final GatewayContext gateway;
  private final RequestMetadata metadata;

  ExchangeLog(GatewayContext gateway, RequestMetadata metadata) {
    this.gateway = gateway;
    this.metadata = metadata;
  }

  /** Logs that the request is sent to an endpoint, and what is known of the endpoint. */
  void logSent(
      EndpointConnection connection, int attempts, long leftMs, Optional<String> lastEventId) {
    EndpointEntry endpoint = connection.endpoint();
    long nowMs = gateway.clock().millis();
    line("request_sent")
        .put("endpoint", endpoint.id().value())
        .put("path", path(connection.relay()))
        .put("service", endpoint.service())
        .put("software_version", endpoint.softwareVersion())
        .put("busy", (long) gateway.loads().estimatedRequests(endpoint.id(), nowMs))
        .put("pace_percent", (long) (100 * gateway.loads().slowdown(endpoint.id(), nowMs)))
        .put("entry_sequence", endpoint.sequence())
        .put("sends", attempts)
        .put("left_ms", leftMs)
        .put("after_event", lastEventId.or(metadata::lastEventId).orElse(""))
        .put("resumed_request", metadata.resumedRequestId().orElse(""))
        .write();
  }

  /** Logs what an attempt that may have run had received from the endpoint when it failed. */
  void logBroken(RequestAttempt attempt, String cause) {
    long nowMs = gateway.clock().millis();
    Optional<ResponseHead> response = attempt.lastResponseHead();
    EndpointConnection connection = attempt.connection();
    line("response_lost")
        .put("endpoint", attempt.endpoint().id().value())
        .put("path", path(connection.relay()))
        .put("reused", connection.isReused())
        .put("waited_ms", nowMs - attempt.sentAtMs())
        .put("silent_ms", nowMs - attempt.lastReceivedAtMs())
        .put("status", response.map(ResponseHead::status).orElse(0))
        .put("responds_to", response.flatMap(ResponseHead::requestId).orElse(""))
        .put("cause", cause)
        .write();
  }

  /** Logs that the request is sent again beside an attempt whose connection carries no bytes. */
  void logRepeated(RequestAttempt attempt) {
    line("connection_silent")
        .put("endpoint", attempt.endpoint().id().value())
        .put("silent_ms", gateway.clock().millis() - attempt.lastReceivedAtMs())
        .put("cause", "no bytes received on the connection")
        .write();
  }

  /** Logs the failure of an attempt and how the request proceeds. */
  void logFailed(
      EndpointEntry endpoint,
      AttemptFailure failure,
      LossEvidence evidence,
      String cause,
      int attempts,
      RetryAction action) {
    line("send_failed")
        .put("endpoint", endpoint.id().value())
        .put("path", path(gateway.paths().relay(endpoint.id())))
        .put("result", failure.name())
        .put("evidence", evidence.name())
        .put("cause", cause)
        .put("sends", attempts)
        .put("next", action.name())
        .write();
  }

  /** Logs and counts a request that goes on at another endpoint than those that may run it. */
  void recordMove(EndpointEntry endpoint, AttemptHistory history) {
    Map<EndpointId, LossEvidence> earlier = history.earlierRunsBeside(endpoint.id());
    if (earlier.isEmpty()) {
      return;
    }
    for (LossEvidence evidence : earlier.values()) {
      gateway.metrics().countMoved(evidence.name());
    }
    line("request_moved")
        .put("endpoint", endpoint.id().value())
        .put("earlier", earlier.toString())
        .put("limit", history.maxEndpoints())
        .write();
  }

  private static String path(Optional<VmEntry> relay) {
    return relay.map(vm -> vm.vm().value()).orElse("direct");
  }

  /** Logs that the endpoint's request limit leaves no permit for the request. */
  void logPermitDenied(EndpointEntry endpoint, long nextMs, long acceptedMs) {
    line("permit_denied")
        .put("endpoint", endpoint.id().value())
        .put("next_ms", nextMs)
        .put("accepted_ms", acceptedMs)
        .write();
  }

  /** Logs the end of the request and its outcome. */
  void logEnded(ClientRequest request, String outcome, int status, int events, int attempts) {
    line("request_ended")
        .put("program", metadata.programId().orElse(""))
        .put("route", request.route().name())
        .put("outcome", outcome)
        .put("status", status)
        .put("events", events)
        .put("sends", attempts)
        .put("took_ms", gateway.clock().millis() - request.arrivedMs())
        .put("config", gateway.routingState().tableVersion())
        .write();
  }

  /** Starts a line that names the request. */
  DecisionLog.Line line(String event) {
    return gateway.log().line(event).put("request", metadata.requestId());
  }
}
