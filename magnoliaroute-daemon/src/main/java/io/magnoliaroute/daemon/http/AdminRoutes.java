package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.config.BranchEntry;
import io.magnoliaroute.core.config.BranchVersion;
import io.magnoliaroute.core.config.ConfigRecord;
import io.magnoliaroute.core.config.ConfigVerdict;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.settings.BranchName;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.core.settings.Finding;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.TeamSettings;
import io.magnoliaroute.daemon.platform.ConfigStreamClient;
import io.magnoliaroute.daemon.program.ControlLog;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.Replies;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.daemon.slot.DrainingEndpoints;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;

/**
 * The routes under {@code /admin/v1}, which require an operator token: status, teams, endpoints and
 * configuration branches.
 */
final class AdminRoutes {

  private static final int MAX_BODY_BYTES = 2 * 1024 * 1024;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final String BRANCH_PATH = "/admin/v1/config/:branch";

  private final RouteSupport support;
  private final ConfigStreamClient config;
  private final ControlLog controlLog;
  private final DrainingEndpoints drainingEndpoints;
  private final InstantSource clock;
  private final Supplier<JsonObject> statusBody;

  AdminRoutes(
      RouteSupport support,
      ConfigStreamClient config,
      ControlLog controlLog,
      DrainingEndpoints drainingEndpoints,
      InstantSource clock,
      Supplier<JsonObject> statusBody) {
    this.support = support;
    this.config = config;
    this.controlLog = controlLog;
    this.drainingEndpoints = drainingEndpoints;
    this.clock = clock;
    this.statusBody = statusBody;
  }

  void addTo(Router router) {
    router.route("/admin/*").handler(this::authenticate);
    router.get("/admin/v1/status").handler(context -> sendDone(context, statusBody.get()));
    router.get("/admin/v1/teams").handler(this::listTeams);
    router.get("/admin/v1/endpoints").handler(this::listEndpoints);
    router.post("/admin/v1/endpoints/:id/drain").handler(context -> setDraining(context, true));
    router.post("/admin/v1/endpoints/:id/resume").handler(context -> setDraining(context, false));
    router.get(BRANCH_PATH).handler(context -> withBranch(context, this::showBranch));
    router.post(BRANCH_PATH).handler(context -> withBranch(context, this::publishBranch));
    router.get(BRANCH_PATH + "/history").handler(context -> withBranch(context, this::showHistory));
  }

  private interface BranchHandler {
    void handle(RoutingContext context, BranchName branch);
  }

  private void authenticate(RoutingContext context) {
    if (support.requireOperator(context)) {
      context.next();
    }
  }

  private void listTeams(RoutingContext context) {
    JsonArray teams = new JsonArray();
    for (TeamSettings team : support.settings().current().tree().teams().values()) {
      teams.add(
          new JsonObject()
              .put("team", team.id().value())
              .put("share", team.share())
              .put("budget_units", team.budget().unitsPerPeriod())
              .put("period_ms", team.budget().periodMs())
              .put("urgent_calls_per_minute", team.urgentRation().callsPerMinute())
              .put("urgent_burst_calls", team.urgentRation().burstCalls()));
    }
    sendDone(context, new JsonObject().put("teams", teams));
  }

  private void listEndpoints(RoutingContext context) {
    JsonArray endpoints = new JsonArray();
    for (PoolSettings pool : support.settings().current().tree().pools().values()) {
      for (EndpointSettings endpoint : pool.endpoints()) {
        endpoints.add(
            new JsonObject()
                .put("endpoint", endpoint.id().value())
                .put("pool", pool.id().value())
                .put("kind", pool.kind().wireName())
                .put("address", endpoint.host() + ":" + endpoint.port())
                .put("data_centre", endpoint.dataCentre().value())
                .put("window_slots", endpoint.windowSlots())
                .put(
                    "draining",
                    endpoint.draining() || drainingEndpoints.isDrainApplied(endpoint.id())));
      }
    }
    sendDone(context, new JsonObject().put("endpoints", endpoints));
  }

  private void setDraining(RoutingContext context, boolean draining) {
    EndpointId endpoint;
    try {
      endpoint = new EndpointId(context.pathParam("id"));
    } catch (IllegalArgumentException e) {
      endpoint = null;
    }
    if (endpoint == null || !support.settings().current().endpointsById().containsKey(endpoint)) {
      support.sendProblem(context, ProblemCode.UNKNOWN_OBJECT, "no such endpoint");
      return;
    }
    JsonObject body = new JsonObject().put("endpoint", endpoint.value()).put("draining", draining);
    ReplySink sink = support.newSink(context);
    controlLog
        .setDraining(endpoint, draining)
        .onComplete(
            result ->
                sink.context()
                    .runOnContext(
                        run -> {
                          if (result.succeeded()) {
                            Replies.sendDone(sink, 200, body);
                          } else {
                            Replies.sendProblem(sink, appendFailed());
                          }
                        }));
  }

  private void withBranch(RoutingContext context, BranchHandler handler) {
    try {
      handler.handle(context, new BranchName(context.pathParam("branch")));
    } catch (IllegalArgumentException e) {
      support.sendProblem(context, ProblemCode.UNKNOWN_OBJECT, e.getMessage());
    }
  }

  private void showBranch(RoutingContext context, BranchName branch) {
    Optional<BranchEntry> entry =
        config.branch(branch).filter(branchEntry -> !branchEntry.isDeleted());
    if (entry.isEmpty()) {
      support.sendProblem(context, ProblemCode.UNKNOWN_OBJECT, "no such branch: " + branch);
      return;
    }
    sendDone(
        context,
        new JsonObject()
            .put("branch", branch.value())
            .put("version", entry.get().version())
            .put("yaml", entry.get().content().orElse("")));
  }

  private void showHistory(RoutingContext context, BranchName branch) {
    Optional<BranchEntry> entry = config.branch(branch);
    if (entry.isEmpty()) {
      support.sendProblem(context, ProblemCode.UNKNOWN_OBJECT, "no such branch: " + branch);
      return;
    }
    JsonArray versions = new JsonArray();
    for (BranchVersion version : entry.get().history()) {
      versions.add(
          new JsonObject()
              .put("version", version.version())
              .put("author", version.author())
              .put("time_ms", version.timeMs()));
    }
    sendDone(context, new JsonObject().put("branch", branch.value()).put("versions", versions));
  }

  private void publishBranch(RoutingContext context, BranchName branch) {
    BodyReader.read(
        context.request(),
        MAX_BODY_BYTES,
        body -> {
          try {
            JsonObject json = Buffer.buffer(body.toArray()).toJsonObject();
            publish(context, parseChange(branch, json));
          } catch (DecodeException | ClassCastException e) {
            support.sendProblem(context, ProblemCode.INVALID_REQUEST, "the body is not a change");
          }
        },
        () -> support.sendProblem(context, ProblemCode.BODY_TOO_LARGE, "the branch is too long"));
  }

  private ConfigRecord.Published parseChange(BranchName branch, JsonObject json) {
    return new ConfigRecord.Published(
        UUID.randomUUID().toString(),
        branch,
        json.getLong("base", -1L),
        Optional.ofNullable(json.getString("yaml")),
        json.getString("author", "operator"),
        clock.millis());
  }

  private void publish(RoutingContext context, ConfigRecord.Published change) {
    ReplySink sink = support.newSink(context);
    config
        .publish(change)
        .onComplete(
            result ->
                sink.context()
                    .runOnContext(
                        run -> {
                          if (result.succeeded()) {
                            sendVerdict(sink, change.branch(), result.result());
                          } else {
                            Replies.sendProblem(sink, appendFailed());
                          }
                        }));
  }

  private static void sendVerdict(ReplySink sink, BranchName branch, ConfigVerdict verdict) {
    if (verdict.isAccepted()) {
      Replies.sendDone(
          sink,
          200,
          new JsonObject()
              .put("branch", branch.value())
              .put("version", verdict.version())
              .put("findings", toJson(verdict.findings())));
      return;
    }
    if (verdict.kind() == ConfigVerdict.Kind.CONFLICT) {
      Replies.sendProblem(
          sink,
          Problem.of(ProblemCode.CONFIG_CONFLICT, "the version is " + verdict.version()),
          new JsonObject().put("version", verdict.version()));
      return;
    }
    Replies.sendProblem(
        sink,
        Problem.of(ProblemCode.CONFIG_FINDINGS, "the branch has findings"),
        new JsonObject().put("findings", toJson(verdict.findings())));
  }

  private static JsonArray toJson(List<Finding> findings) {
    JsonArray array = new JsonArray();
    for (Finding finding : findings) {
      array.add(
          new JsonObject()
              .put("file", finding.file())
              .put("line", finding.line())
              .put("path", finding.path())
              .put("message", finding.message())
              .put("severity", finding.severity().wireName()));
    }
    return array;
  }

  /**
   * Returns the problem for a failed append. Its outcome is unknown because an unacknowledged
   * append may still take effect.
   */
  private static Problem appendFailed() {
    return new Problem(ProblemCode.OUTCOME_UNKNOWN, "the log did not answer", RETRY_AFTER_MS);
  }

  private void sendDone(RoutingContext context, JsonObject body) {
    Replies.sendDone(support.newSink(context), 200, body);
  }
}
