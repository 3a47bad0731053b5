package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinEndpoint;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Endpoints with scripted responses that replace the listed ones and can be paused one by one. */
final class PausableEndpoints implements Closeable {

  private final Vertx vertx = Vertx.vertx();
  private final List<RawEndpoint> endpoints = new ArrayList<>();
  private final List<EndpointLink> links = new ArrayList<>();
  private Future<Void> resumed = Future.succeededFuture();

  /** Starts endpoints, each of which responds to a request as the script defines. */
  PausableEndpoints(GatewayTestEnvironment environment, int count, RawEndpoint.Script script)
      throws IOException {
    environment.removeEndpoints();
    for (int i = 0; i < count; i++) {
      RawEndpoint endpoint = new RawEndpoint(vertx, script, false);
      EndpointLink link = new EndpointLink(Await.result(endpoint.start()));
      endpoints.add(endpoint);
      links.add(link);
      environment
          .store()
          .put("keyed.servers", "p" + i, StandinEndpoint.entryAt(link.port(), "s", "ready", 1));
    }
    Await.until("all endpoints are usable", () -> environment.usableEndpointsAtFirstVm() == count);
  }

  /** Pauses an endpoint and lets it go on after the given time. */
  void pause(int index, EndpointLink.Cut how, long pauseMs) throws IOException {
    EndpointLink link = links.get(index);
    link.cut(how);
    resumed =
        vertx
            .timer(pauseMs, TimeUnit.MILLISECONDS)
            .compose(
                fired ->
                    vertx.executeBlocking(
                        () -> {
                          link.restore();
                          return null;
                        }));
  }

  /** Resets the connections to an endpoint that were opened first. */
  void resetOldestConnections(int index, int count) throws IOException {
    links.get(index).resetOldest(count);
  }

  /** Returns how many client requests the endpoint has run. */
  int countRequests(int index) {
    return endpoints.get(index).requestIds().size();
  }

  /** Returns the index of the endpoint that has run the most requests. */
  int busiest() {
    int busiest = 0;
    for (int i = 1; i < endpoints.size(); i++) {
      busiest = countRequests(i) > countRequests(busiest) ? i : busiest;
    }
    return busiest;
  }

  /** Waits until the endpoint that was paused last goes on. */
  void awaitResumed() {
    Await.result(resumed);
  }

  /** Returns the ids of the client requests that all endpoints have run, with repetitions. */
  List<String> requestIds() {
    return endpoints.stream().flatMap(each -> each.requestIds().stream()).toList();
  }

  /** Returns the ids of the requests that have run on more than one endpoint. */
  List<String> requestsOnSeveralEndpoints() {
    return requestIds().stream()
        .distinct()
        .filter(id -> endpoints.stream().filter(each -> each.requestIds().contains(id)).count() > 1)
        .toList();
  }

  /** Waits until an endpoint has received a request, and returns the index of the endpoint. */
  int awaitRequest() {
    Await.until("an endpoint has the request", () -> !requestIds().isEmpty());
    int index = 0;
    while (endpoints.get(index).requestIds().isEmpty()) {
      index++;
    }
    return index;
  }

  @Override
  public void close() throws IOException {
    awaitResumed();
    for (EndpointLink each : links) {
      each.close();
    }
    Await.result(vertx.close());
  }
}
