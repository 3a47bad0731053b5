package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.Replies;
import io.magnoliaroute.daemon.settings.SettingsBoard;
import io.vertx.core.Vertx;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;

/**
 * What the routes share.
 *
 * @param vertx event loops
 * @param authenticator teams and operators by token
 * @param settings the settings in force
 * @param readiness the phase of this VM and the requests that run
 * @param metrics counters and histograms
 */
record RouteContext(
    Vertx vertx,
    Authenticator authenticator,
    SettingsBoard settings,
    Readiness readiness,
    DaemonMetrics metrics) {

  private static final long STOP_RETRY_AFTER_MS = 1_000;

  /** Makes the sink of a request and counts the request until its reply has ended. */
  HttpReplySink sink(RoutingContext context) {
    return sink(context, () -> {});
  }

  /** Makes the sink of a request; {@code onEnd} runs besides when its reply has ended. */
  HttpReplySink sink(RoutingContext context, Runnable onEnd) {
    readiness.requestStarted();
    return new HttpReplySink(
        vertx.getOrCreateContext(),
        context.request(),
        () -> readiness.phase() == Readiness.Phase.STOPPING,
        () -> {
          onEnd.run();
          readiness.requestEnded();
        });
  }

  /** Replies with a problem. */
  void problem(RoutingContext context, Problem problem) {
    metrics.count("problems", "code", problem.code().code());
    Replies.problem(sink(context), problem);
  }

  /** Replies with a problem without further detail. */
  void problem(RoutingContext context, ProblemCode code, String detail) {
    problem(context, Problem.of(code, detail));
  }

  /** Returns the team of the request, or replies that there is none. */
  Optional<TeamId> requireTeam(RoutingContext context) {
    Optional<TeamId> team = authenticator.team(authorization(context));
    if (team.isEmpty()) {
      problem(context, ProblemCode.UNAUTHENTICATED, "no team has this token");
    }
    return team;
  }

  /** Returns whether the request is an operator's, or replies that it is not. */
  boolean requireOperator(RoutingContext context) {
    if (authenticator.isOperator(authorization(context))) {
      return true;
    }
    problem(context, ProblemCode.UNAUTHENTICATED, "no operator has this token");
    return false;
  }

  /** Returns whether new work is taken, or replies that it is not. */
  boolean requireReady(RoutingContext context) {
    Readiness.Phase phase = readiness.phase();
    if (phase == Readiness.Phase.READY) {
      return true;
    }
    boolean stopping = phase == Readiness.Phase.STOPPING;
    problem(
        context,
        new Problem(
            stopping ? ProblemCode.STOPPING : ProblemCode.NOT_READY,
            stopping ? "this VM is stopping" : "this VM has no settings yet",
            STOP_RETRY_AFTER_MS));
    return false;
  }

  static String authorization(RoutingContext context) {
    return context.request().getHeader("Authorization");
  }
}
