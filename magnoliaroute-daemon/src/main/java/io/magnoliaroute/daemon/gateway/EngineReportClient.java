package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EngineReport;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.platform.EngineReportDecoder;
import io.magnoliaroute.platform.PlatformFormatException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import java.util.concurrent.TimeoutException;

/** Fetches the status reports of model engines. Confined to one event loop. */
final class EngineReportClient {

  /** Time-out of a report; several network round trips, as a report does not wait for a slot. */
  private static final long TIMEOUT_MS = 400;

  /** Size limit; several times the report of an engine whose slots are all in use. */
  private static final int MAX_REPORT_BYTES = 65_536;

  private final Vertx vertx;
  private final EndpointConnectionPool connections;

  EngineReportClient(Vertx vertx, EndpointConnectionPool connections) {
    this.vertx = vertx;
    this.connections = connections;
  }

  /**
   * Fetches a report over a separate connection, which is closed afterwards. Fails with a {@link
   * TimeoutException} if the engine accepts the connection and sends no report in time.
   *
   * @param relay the VM through which the connection leads; empty for a direct connection
   * @param maxConnections the number of connections that the endpoint accepts from all VMs
   */
  Future<EngineReport> fetch(EndpointEntry endpoint, Optional<VmEntry> relay, int maxConnections) {
    return connections.open(endpoint, relay, maxConnections).compose(this::fetchOn);
  }

  private Future<EngineReport> fetchOn(EndpointConnection connection) {
    Promise<EngineReport> report = Promise.promise();
    long timer =
        vertx.setTimer(
            TIMEOUT_MS,
            fired ->
                report.tryFail(
                    new TimeoutException("no engine report within " + TIMEOUT_MS + " ms")));
    connection.onClose(() -> report.tryFail("connection closed"));
    connection.awaitAnyResponse();
    RequestOptions options =
        new RequestOptions().setMethod(HttpMethod.GET).setURI(EngineReportDecoder.PATH);
    connection
        .connection()
        .request(options)
        .compose(
            request -> {
              // The handlers of the response have to be set in the same turn of the event loop in
              // which its head arrives; later, parts of the response may be lost.
              Future<Void> responseHandled =
                  request
                      .response()
                      .map(
                          response -> {
                            read(response, report);
                            return null;
                          });
              return request.send().compose(sent -> responseHandled);
            })
        .onFailure(report::tryFail);
    return report
        .future()
        .onComplete(
            done -> {
              vertx.cancelTimer(timer);
              connections.close(connection);
            });
  }

  private static void read(HttpClientResponse response, Promise<EngineReport> report) {
    Buffer body = Buffer.buffer();
    response.exceptionHandler(report::tryFail);
    response.handler(
        bytes -> {
          if (body.length() + bytes.length() > MAX_REPORT_BYTES) {
            report.tryFail("engine report exceeds " + MAX_REPORT_BYTES + " bytes");
          } else {
            body.appendBuffer(bytes);
          }
        });
    response.endHandler(
        ended -> {
          try {
            report.tryComplete(EngineReportDecoder.decode(body.getBytes()));
          } catch (PlatformFormatException e) {
            report.tryFail(e);
          }
        });
  }
}
