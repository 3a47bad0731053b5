package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.Replies;
import io.magnoliaroute.daemon.request.RequestHandler;
import io.magnoliaroute.daemon.request.RequestKind;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * The callers' routes under {@code /v1}. Each request is authenticated, checked against the
 * configured limits, and passed to the request handler, which routes it to the partition owner.
 */
final class ProgramRoutes {

  private static final String PROGRAM_HEADER = "Magnoliaroute-Program";
  // The team id of requests with an operator token.
  private static final TeamId OPERATOR_TEAM = new TeamId("operators");
  private static final long RETRY_AFTER_MS = 1_000;
  private static final int OK = 200;

  private final RouteSupport support;
  private final RequestHandler requestHandler;
  private final ProgramIdGenerator programIds;
  private final AtomicInteger callSequence = new AtomicInteger();
  private final AtomicInteger activeStreams = new AtomicInteger();

  ProgramRoutes(
      RouteSupport support, RequestHandler requestHandler, ProgramIdGenerator programIds) {
    this.support = support;
    this.requestHandler = requestHandler;
    this.programIds = programIds;
  }

  void addTo(Router router) {
    router.post("/v1/programs").handler(this::startProgram);
    router
        .get("/v1/programs")
        .handler(context -> dispatch(context, RequestKind.LIST, programIds.placeholder()));
    router.post("/v1/chat/completions").handler(this::runTurn);
    router.get("/v1/models").handler(this::listModels);
    router.get("/v1/programs/:id").handler(context -> dispatchToProgram(context, RequestKind.SHOW));
    router
        .get("/v1/programs/:id/history")
        .handler(context -> dispatchToProgram(context, RequestKind.HISTORY));
    router
        .post("/v1/programs/:id/actions")
        .handler(context -> dispatchToProgram(context, RequestKind.ACTION));
    router
        .post("/v1/programs/:id/end")
        .handler(context -> dispatchToProgram(context, RequestKind.END));
    router
        .post("/v1/programs/:id/cancel")
        .handler(context -> dispatchToProgram(context, RequestKind.CANCEL));
  }

  private void startProgram(RoutingContext context) {
    Optional<TeamId> team = admit(context, RequestKind.START);
    if (team.isEmpty()) {
      return;
    }
    readBody(
        context,
        body -> {
          Optional<ProgramId> program = chooseId(context, team.get(), body);
          if (program.isPresent()) {
            forward(context, RequestKind.START, team.get(), program.get(), body);
          } else {
            support.sendProblem(context, ProblemCode.INVALID_REQUEST, "the body is not a program");
          }
        });
  }

  private Optional<ProgramId> chooseId(RoutingContext context, TeamId team, Bytes body) {
    try {
      JsonObject json =
          body.sizeBytes() == 0 ? new JsonObject() : Buffer.buffer(body.toArray()).toJsonObject();
      String parent = json.getString("parent");
      if (parent != null) {
        return Optional.of(programIds.newIdForParent(new ProgramId(parent)));
      }
      String key = context.request().getHeader(CallerRequest.Fields.IDEMPOTENCY_KEY);
      return Optional.of(
          key == null ? programIds.newId() : programIds.newIdForClientKey(team, key));
    } catch (DecodeException | ClassCastException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  // Returns all models to every team, because teams share the pools.
  private void listModels(RoutingContext context) {
    if (support.requireTeam(context).isEmpty()) {
      return;
    }
    JsonArray models = new JsonArray();
    new TreeMap<>(support.settings().current().poolByModel())
        .forEach(
            (model, pool) ->
                models.add(
                    new JsonObject()
                        .put("id", model)
                        .put("object", "model")
                        .put("owned_by", pool.id().value())));
    Replies.sendDone(
        support.newSink(context), OK, new JsonObject().put("object", "list").put("data", models));
  }

  private void runTurn(RoutingContext context) {
    String program = context.request().getHeader(PROGRAM_HEADER);
    if (program == null) {
      support.sendProblem(
          context, ProblemCode.INVALID_REQUEST, "the header " + PROGRAM_HEADER + " is required");
      return;
    }
    dispatchToProgram(context, RequestKind.TURN, program);
  }

  private void dispatchToProgram(RoutingContext context, RequestKind kind) {
    dispatchToProgram(context, kind, context.pathParam("id"));
  }

  private void dispatchToProgram(RoutingContext context, RequestKind kind, String id) {
    ProgramId program;
    try {
      program = new ProgramId(id);
    } catch (IllegalArgumentException e) {
      support.sendProblem(context, ProblemCode.UNKNOWN_PROGRAM, "no such program");
      return;
    }
    dispatch(context, kind, program);
  }

  private void dispatch(RoutingContext context, RequestKind kind, ProgramId program) {
    Optional<TeamId> team = admit(context, kind);
    if (team.isPresent()) {
      readBody(context, body -> forward(context, kind, team.get(), program, body));
    }
  }

  /**
   * Checks the token of a request and, if the request starts work, readiness and the limit on
   * concurrent streams.
   *
   * @return the team of the request; empty if the request was refused and the reply has been sent
   */
  private Optional<TeamId> admit(RoutingContext context, RequestKind kind) {
    boolean isOperator =
        !kind.startsWork()
            && support.authenticator().isOperator(RouteSupport.authorizationHeader(context));
    Optional<TeamId> team = isOperator ? Optional.of(OPERATOR_TEAM) : support.requireTeam(context);
    if (team.isEmpty() || (kind.startsWork() && !support.requireReady(context))) {
      return Optional.empty();
    }
    int limit = support.settings().current().tree().limits().concurrentStreams();
    if (kind.startsWork() && activeStreams.get() >= limit) {
      support.sendProblem(
          context, new Problem(ProblemCode.OVERLOADED, "too many streams", RETRY_AFTER_MS));
      return Optional.empty();
    }
    return team;
  }

  private void readBody(RoutingContext context, Consumer<Bytes> onBody) {
    int limit = support.settings().current().tree().limits().bodyBytes();
    BodyReader.read(
        context.request(),
        limit,
        onBody,
        () -> {
          context.response().putHeader("Connection", "close");
          support.sendProblem(
              context, ProblemCode.BODY_TOO_LARGE, "the body is longer than " + limit + " bytes");
        });
  }

  private void forward(
      RoutingContext context, RequestKind kind, TeamId team, ProgramId program, Bytes body) {
    Map<String, String> fields = new HashMap<>();
    copyHeader(context, fields, CallerRequest.Fields.TURN);
    copyHeader(context, fields, CallerRequest.Fields.IDEMPOTENCY_KEY);
    copyHeader(context, fields, CallerRequest.Fields.HISTORY);
    if (team.equals(OPERATOR_TEAM)) {
      fields.put(CallerRequest.Fields.OPERATOR, "true");
    }
    CallId call = new CallId(program, 0, callSequence.getAndIncrement() & Integer.MAX_VALUE);
    activeStreams.incrementAndGet();
    HttpReplySink sink = support.newSink(context, activeStreams::decrementAndGet);
    requestHandler.handle(new CallerRequest(call, kind, team, 0, fields, body), sink);
  }

  private static void copyHeader(RoutingContext context, Map<String, String> fields, String name) {
    String value = context.request().getHeader(name);
    if (value != null) {
      fields.put(name, value);
    }
  }
}
