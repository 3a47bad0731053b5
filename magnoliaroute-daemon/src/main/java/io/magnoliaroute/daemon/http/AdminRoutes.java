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
import io.magnoliaroute.daemon.platform.ConfigFollower;
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

/** The operators' routes. */
final class AdminRoutes {

  private static final int MAX_BODY_BYTES = 2 * 1024 * 1024;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final String BRANCH_PATH = "/admin/v1/config/:branch";

  private final RouteContext shared;
  private final ConfigFollower config;
  private final ControlLog control;
  private final DrainingEndpoints draining;
  private final InstantSource clock;
  private final Supplier<JsonObject> status;

  AdminRoutes(
      RouteContext shared,
      ConfigFollower config,
      ControlLog control,
      DrainingEndpoints draining,
      InstantSource clock,
      Supplier<JsonObject> status) {
    this.shared = shared;
    this.config = config;
    this.control = control;
    this.draining = draining;
    this.clock = clock;
    this.status = status;
  }

  void addTo(Router router) {
    router.route("/admin/*").handler(this::authenticate);
    router.get("/admin/v1/status").handler(context -> done(context, status.get()));
    router.get("/admin/v1/teams").handler(this::teams);
    router.get("/admin/v1/endpoints").handler(this::endpoints);
    router.post("/admin/v1/endpoints/:id/drain").handler(context -> drain(context, true));
    router.post("/admin/v1/endpoints/:id/resume").handler(context -> drain(context, false));
    router.get(BRANCH_PATH).handler(context -> withBranch(context, this::show));
    router.post(BRANCH_PATH).handler(context -> withBranch(context, this::publish));
    router.get(BRANCH_PATH + "/history").handler(context -> withBranch(context, this::history));
  }

  private interface BranchRoute {
    void handle(RoutingContext context, BranchName branch);
  }

  private void authenticate(RoutingContext context) {
    if (shared.requireOperator(context)) {
      context.next();
    }
  }

  private void teams(RoutingContext context) {
    JsonArray teams = new JsonArray();
    for (TeamSettings team : shared.settings().current().tree().teams().values()) {
      teams.add(
          new JsonObject()
              .put("team", team.id().value())
              .put("share", team.share())
              .put("budget_units", team.budget().unitsPerPeriod())
              .put("period_ms", team.budget().periodMs())
              .put("urgent_calls_per_minute", team.urgentRation().callsPerMinute())
              .put("urgent_burst_calls", team.urgentRation().burstCalls()));
    }
    done(context, new JsonObject().put("teams", teams));
  }

  private void endpoints(RoutingContext context) {
    JsonArray endpoints = new JsonArray();
    for (PoolSettings pool : shared.settings().current().tree().pools().values()) {
      for (EndpointSettings endpoint : pool.endpoints()) {
        endpoints.add(
            new JsonObject()
                .put("endpoint", endpoint.id().value())
                .put("pool", pool.id().value())
                .put("kind", pool.kind().wireName())
                .put("address", endpoint.host() + ":" + endpoint.port())
                .put("data_centre", endpoint.dataCentre().value())
                .put("window_slots", endpoint.windowSlots())
                .put("draining", endpoint.draining() || draining.isApplied(endpoint.id())));
      }
    }
    done(context, new JsonObject().put("endpoints", endpoints));
  }

  private void drain(RoutingContext context, boolean nowDraining) {
    EndpointId endpoint;
    try {
      endpoint = new EndpointId(context.pathParam("id"));
    } catch (IllegalArgumentException e) {
      endpoint = null;
    }
    if (endpoint == null || !shared.settings().current().endpoints().containsKey(endpoint)) {
      shared.problem(context, ProblemCode.UNKNOWN_OBJECT, "no such endpoint");
      return;
    }
    JsonObject body =
        new JsonObject().put("endpoint", endpoint.value()).put("draining", nowDraining);
    ReplySink sink = shared.sink(context);
    control
        .drain(endpoint, nowDraining)
        .onComplete(
            appended ->
                sink.context()
                    .runOnContext(
                        run -> {
                          if (appended.succeeded()) {
                            Replies.done(sink, 200, body);
                          } else {
                            Replies.problem(sink, logFailed());
                          }
                        }));
  }

  private void withBranch(RoutingContext context, BranchRoute route) {
    try {
      route.handle(context, new BranchName(context.pathParam("branch")));
    } catch (IllegalArgumentException e) {
      shared.problem(context, ProblemCode.UNKNOWN_OBJECT, e.getMessage());
    }
  }

  private void show(RoutingContext context, BranchName branch) {
    Optional<BranchEntry> entry = config.branch(branch).filter(each -> !each.deleted());
    if (entry.isEmpty()) {
      shared.problem(context, ProblemCode.UNKNOWN_OBJECT, "no such branch: " + branch);
      return;
    }
    done(
        context,
        new JsonObject()
            .put("branch", branch.value())
            .put("version", entry.get().version())
            .put("yaml", entry.get().content().orElse("")));
  }

  private void history(RoutingContext context, BranchName branch) {
    Optional<BranchEntry> entry = config.branch(branch);
    if (entry.isEmpty()) {
      shared.problem(context, ProblemCode.UNKNOWN_OBJECT, "no such branch: " + branch);
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
    done(context, new JsonObject().put("branch", branch.value()).put("versions", versions));
  }

  private void publish(RoutingContext context, BranchName branch) {
    BodyReader.read(
        context.request(),
        MAX_BODY_BYTES,
        body -> {
          try {
            JsonObject json = Buffer.buffer(body.toArray()).toJsonObject();
            publish(context, change(branch, json));
          } catch (DecodeException | ClassCastException e) {
            shared.problem(context, ProblemCode.INVALID_REQUEST, "the body is not a change");
          }
        },
        () -> shared.problem(context, ProblemCode.BODY_TOO_LARGE, "the branch is too long"));
  }

  private ConfigRecord.Published change(BranchName branch, JsonObject json) {
    return new ConfigRecord.Published(
        UUID.randomUUID().toString(),
        branch,
        json.getLong("base", -1L),
        Optional.ofNullable(json.getString("yaml")),
        json.getString("author", "operator"),
        clock.millis());
  }

  private void publish(RoutingContext context, ConfigRecord.Published change) {
    ReplySink sink = shared.sink(context);
    config
        .publish(change)
        .onComplete(
            done ->
                sink.context()
                    .runOnContext(
                        run -> {
                          if (done.succeeded()) {
                            answer(sink, change.branch(), done.result());
                          } else {
                            Replies.problem(sink, logFailed());
                          }
                        }));
  }

  private static void answer(ReplySink sink, BranchName branch, ConfigVerdict verdict) {
    if (verdict.accepted()) {
      Replies.done(
          sink,
          200,
          new JsonObject()
              .put("branch", branch.value())
              .put("version", verdict.version())
              .put("findings", findings(verdict.findings())));
      return;
    }
    if (verdict.kind() == ConfigVerdict.Kind.CONFLICT) {
      Replies.problem(
          sink,
          Problem.of(ProblemCode.CONFIG_CONFLICT, "the version is " + verdict.version()),
          new JsonObject().put("version", verdict.version()));
      return;
    }
    Replies.problem(
        sink,
        Problem.of(ProblemCode.CONFIG_FINDINGS, "the branch has findings"),
        new JsonObject().put("findings", findings(verdict.findings())));
  }

  private static JsonArray findings(List<Finding> findings) {
    JsonArray listed = new JsonArray();
    for (Finding finding : findings) {
      listed.add(
          new JsonObject()
              .put("file", finding.file())
              .put("line", finding.line())
              .put("path", finding.path())
              .put("message", finding.message())
              .put("severity", finding.severity().wireName()));
    }
    return listed;
  }

  /** An append without an answer may still take effect, so the outcome is unknown. */
  private static Problem logFailed() {
    return new Problem(ProblemCode.OUTCOME_UNKNOWN, "the log did not answer", RETRY_AFTER_MS);
  }

  private void done(RoutingContext context, JsonObject body) {
    Replies.done(shared.sink(context), 200, body);
  }
}
