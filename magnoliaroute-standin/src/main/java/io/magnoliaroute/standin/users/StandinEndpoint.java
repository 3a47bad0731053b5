package io.magnoliaroute.standin.users;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** An endpoint that serves plain requests and event streams, with fault injection. */
public final class StandinEndpoint {

  /** Number of events in each stream. */
  public static final int EVENTS_PER_STREAM = 6;

  private static final Set<Behaviour> SHUTTING_DOWN =
      EnumSet.of(Behaviour.LEAVES, Behaviour.LEAVES_MID_EVENT, Behaviour.REFUSES_AND_LEAVES);
  private static final Set<Behaviour> DISCONNECTING =
      EnumSet.of(
          Behaviour.BREAKS_MID_EVENT, Behaviour.LEAVES_MID_EVENT, Behaviour.CRASHES_MID_EVENT);

  private static final int OK = 200;
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;

  /** Time for which a crashing process accepts connections after it has closed the first one. */
  private static final long CRASH_DELAY_MS = 5;

  /** The same for a slow crash; longer than a VM waits before it reconnects. */
  private static final long SLOW_CRASH_DELAY_MS = 60;

  private final Vertx vertx;
  private final String id;
  private final Deque<Behaviour> nextBehaviours = new ArrayDeque<>();
  private final List<String> executedRequestIds = new ArrayList<>();
  private final List<String> receivedDeadlines = new ArrayList<>();
  private MultiMap lastHeaders = MultiMap.caseInsensitiveMultiMap();
  private final List<ReceivedBody> receivedBodies = new ArrayList<>();
  private HttpServer server;
  private int port;
  private int abortedRequests;
  private boolean crashing;
  private Optional<String> requestLimit = Optional.empty();
  private String softwareVersion = "v1";
  private String load = "1,0,8,100";

  /** How the endpoint handles a request. */
  public enum Behaviour {
    /** Runs the request and responds normally. */
    SOUND,
    /** Runs the request and closes the connection without a response. */
    ANSWER_LOST,
    /** Runs the request, closes all connections and stops listening. */
    CRASHES,
    /** As {@link #CRASHES}, but accepts connections for a while, and serves nothing on them. */
    CRASHES_SLOWLY,
    /** Refuses the request and reports that it has not run. */
    FULL,
    /** Closes the connection of a stream in the middle of an event. */
    BREAKS_MID_EVENT,
    /** Sends the first half of the events of a stream and nothing after them. */
    STOPS_MID_STREAM,
    /** Crashes in the middle of an event of a stream. */
    CRASHES_MID_EVENT,
    /** Responds with the id of another request. */
    FOREIGN_ID,
    /** Responds with success but without the signature of the endpoint. */
    UNSIGNED,
    /** Runs the request and never responds. */
    HANGS,
    /** Responds with status 500, so the request itself has failed. */
    FAILS,
    /** Responds normally and announces that the endpoint shuts down. */
    LEAVES,
    /** Announces a shutdown and closes the connection of a stream in the middle of an event. */
    LEAVES_MID_EVENT,
    /** Refuses the request, reports that it has not run and announces a shutdown. */
    REFUSES_AND_LEAVES
  }

  /** Creates an endpoint that is not listening yet. */
  public StandinEndpoint(Vertx vertx, String id) {
    this.vertx = vertx;
    this.id = id;
  }

  /** Starts listening on an ephemeral port. */
  public Future<Void> start() {
    return listen(0);
  }

  /** Starts listening on the same port as before. */
  public Future<Void> restart() {
    return listen(port);
  }

  private Future<Void> listen(int requestedPort) {
    setCrashing(false);
    server = vertx.createHttpServer(new HttpServerOptions());
    return server
        .requestHandler(this::handle)
        .listen(requestedPort, "127.0.0.1")
        .onSuccess(listening -> port = listening.actualPort())
        .mapEmpty();
  }

  /** Stops listening and closes all connections, as in a crash. */
  public Future<Void> crash() {
    return server.close();
  }

  /** Returns the id of the endpoint. */
  public String id() {
    return id;
  }

  /** Returns the port that the endpoint listens on. */
  public int port() {
    return port;
  }

  /** Returns the entry with which the endpoint registers in the endpoint list, as JSON. */
  public String entry(String service, String state, long sequence) {
    return entryAt(port, service, state, 1, sequence, softwareVersion);
  }

  /** Returns the entry of an endpoint that listens on a loopback port, as JSON. */
  public static String entryAt(int port, String service, String state, long sequence) {
    return entryAt(port, service, state, 1, sequence, "v1");
  }

  /** Returns the entry of an endpoint that has started again, as JSON. */
  public static String entryAfterRestart(int port, String service) {
    return entryAt(port, service, "ready", 2, 1, "v1");
  }

  private static String entryAt(
      int port, String service, String state, long born, long sequence, String softwareVersion) {
    return "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"dc\",\"version\":\"%s\","
            .formatted(service, port, softwareVersion)
        + "\"slots\":8,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%d,\"born\":%d}"
            .formatted(state, sequence, born);
  }

  /** Sets the behaviour for the next request; repeated calls cover the requests after it. */
  public synchronized void addBehaviour(Behaviour behaviour) {
    nextBehaviours.add(behaviour);
  }

  /** Removes the behaviours that are set for further requests. */
  public synchronized void clearBehaviours() {
    nextBehaviours.clear();
  }

  /**
   * Sets the request limit that the endpoint reports in its responses, in requests per second; it
   * does not enforce the limit.
   */
  public synchronized void setRequestLimit(Optional<String> limit) {
    requestLimit = limit;
  }

  /** Sets the load that the endpoint reports in its responses: running, waiting, slots, pace. */
  public synchronized void setReportedLoad(String reported) {
    load = reported;
  }

  /** Sets the software version that the endpoint registers with. */
  public void setSoftwareVersion(String version) {
    softwareVersion = version;
  }

  /** Returns the ids of all requests that have started to run. */
  public synchronized List<String> executedRequestIds() {
    return List.copyOf(executedRequestIds);
  }

  /** Returns the deadline headers of all received requests; fails if a request had none. */
  public synchronized List<String> receivedDeadlines() {
    return List.copyOf(receivedDeadlines);
  }

  /** Returns the headers of the last request that has started to run. */
  public synchronized MultiMap lastHeaders() {
    return MultiMap.caseInsensitiveMultiMap().setAll(lastHeaders);
  }

  /** The body of a request as the endpoint received it. */
  public record ReceivedBody(String requestId, String body) {}

  /** Returns the bodies of all received requests, in order of arrival. */
  public synchronized List<ReceivedBody> receivedBodies() {
    return List.copyOf(receivedBodies);
  }

  /** Returns the number of hanging requests whose connection was closed. */
  public synchronized int abortedRequests() {
    return abortedRequests;
  }

  private synchronized void setCrashing(boolean crashes) {
    crashing = crashes;
  }

  private void handle(HttpServerRequest request) {
    request.body().onSuccess(body -> record(request, body)).onSuccess(body -> respond(request));
  }

  private synchronized void record(HttpServerRequest request, Buffer body) {
    receivedBodies.add(new ReceivedBody(request.getHeader("X-Request-Id"), body.toString()));
  }

  private synchronized void respond(HttpServerRequest request) {
    if (crashing) {
      return;
    }
    receivedDeadlines.add(request.getHeader("X-Deadline-Ms"));
    HttpServerResponse response = request.response();
    if (!id.equals(request.getHeader("X-Target-Instance"))) {
      response.setStatusCode(MISDIRECTED).end();
      return;
    }
    requestLimit.ifPresent(limit -> response.putHeader("Server-Limit", limit));
    Behaviour behaviour = nextBehaviours.isEmpty() ? Behaviour.SOUND : nextBehaviours.poll();
    if (SHUTTING_DOWN.contains(behaviour)) {
      response.putHeader("Server-Leaving", "1");
    }
    if (behaviour == Behaviour.FULL || behaviour == Behaviour.REFUSES_AND_LEAVES) {
      response.setStatusCode(UNAVAILABLE).putHeader("X-Not-Run", "1").end();
      return;
    }
    executedRequestIds.add(request.getHeader("X-Request-Id"));
    lastHeaders = request.headers();
    response.putHeader(
        "X-Request-Id",
        behaviour == Behaviour.FOREIGN_ID ? "other" : request.getHeader("X-Request-Id"));
    if (behaviour != Behaviour.UNSIGNED) {
      response.putHeader("X-Server-Seal", "seal-" + id);
    }
    response.putHeader("X-Server-Load", load);
    switch (behaviour) {
      case ANSWER_LOST -> request.connection().close();
      case CRASHES -> crashAfter(CRASH_DELAY_MS, request);
      case CRASHES_SLOWLY -> crashAfter(SLOW_CRASH_DELAY_MS, request);
      case HANGS ->
          request
              .connection()
              .closeHandler(
                  closed -> {
                    synchronized (this) {
                      abortedRequests++;
                    }
                  });
      case FAILS -> response.setStatusCode(500).end("failed");
      default -> {
        if (request.path().contains("stream")) {
          sendStream(request, behaviour);
        } else {
          response.setStatusCode(OK).end("body of " + id);
        }
      }
    }
  }

  private void crashAfter(long delayMs, HttpServerRequest request) {
    setCrashing(true);
    request.connection().close();
    vertx.setTimer(delayMs, timer -> crash());
  }

  private void sendStream(HttpServerRequest request, Behaviour behaviour) {
    String lastEventId = request.getHeader("Last-Event-Id");
    HttpServerResponse response = request.response();
    response.putHeader("Content-Type", "text/event-stream").setChunked(true);
    sendEvents(request, lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1, behaviour);
  }

  private void sendEvents(HttpServerRequest request, int number, Behaviour behaviour) {
    HttpServerResponse response = request.response();
    if (response.closed()) {
      return;
    }
    if (number > EVENTS_PER_STREAM) {
      response.end();
      return;
    }
    if (behaviour == Behaviour.STOPS_MID_STREAM && number > EVENTS_PER_STREAM / 2) {
      return;
    }
    if (DISCONNECTING.contains(behaviour) && number > EVENTS_PER_STREAM / 2) {
      response
          .write("id: " + number + "\nda")
          .onComplete(written -> disconnect(request, behaviour));
      return;
    }
    response.write("id: " + number + "\ndata: token " + number + "\n\n");
    vertx.setTimer(2, timer -> sendEvents(request, number + 1, behaviour));
  }

  private void disconnect(HttpServerRequest request, Behaviour behaviour) {
    if (behaviour == Behaviour.CRASHES_MID_EVENT) {
      crash();
    } else {
      request.connection().close();
    }
  }
}
