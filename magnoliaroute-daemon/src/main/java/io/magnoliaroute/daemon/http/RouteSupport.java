package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.Replies;
import io.magnoliaroute.daemon.settings.ActiveSettings;
import io.vertx.core.Vertx;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;

/**
 * Components and reply methods shared by all routes.
 *
 * @param vertx the Vert.x instance that runs the servers
 * @param authenticator authenticates teams and operators by token
 * @param settings the active settings
 * @param readiness the lifecycle phase of this VM and the number of requests in progress
 * @param metrics the counters and histograms of the daemon
 */
record RouteSupport(
    Vertx vertx,
    Authenticator authenticator,
    ActiveSettings settings,
    Readiness readiness,
    DaemonMetrics metrics) {

  private static final long RETRY_AFTER_MS = 1_000;

  /**
   * Creates the reply sink of a request. The request counts as in progress until the reply is
   * complete or the caller has disconnected.
   */
  HttpReplySink newSink(RoutingContext context) {
    return newSink(context, () -> {});
  }

  /**
   * Creates the reply sink of a request like {@link #newSink(RoutingContext)}.
   *
   * @param onEnd additionally runs once, when the request is no longer in progress
   */
  HttpReplySink newSink(RoutingContext context, Runnable onEnd) {
    readiness.recordRequestStart();
    return new HttpReplySink(
        vertx.getOrCreateContext(),
        context.request(),
        () -> readiness.phase() == Readiness.Phase.STOPPING,
        () -> {
          onEnd.run();
          readiness.recordRequestEnd();
        });
  }

  /** Sends a problem document as the reply and counts it by its code. */
  void sendProblem(RoutingContext context, Problem problem) {
    metrics.increment("problems", "code", problem.code().code());
    Replies.sendProblem(newSink(context), problem);
  }

  /** Sends a problem document without a retry time as the reply. */
  void sendProblem(RoutingContext context, ProblemCode code, String detail) {
    sendProblem(context, Problem.of(code, detail));
  }

  /**
   * Returns the team of the request; if its token is unknown, sends a problem and returns empty.
   */
  Optional<TeamId> requireTeam(RoutingContext context) {
    Optional<TeamId> team = authenticator.findTeam(authorizationHeader(context));
    if (team.isEmpty()) {
      sendProblem(context, ProblemCode.UNAUTHENTICATED, "no team has this token");
    }
    return team;
  }

  /** Returns whether the request has an operator token; if not, sends a problem as the reply. */
  boolean requireOperator(RoutingContext context) {
    if (authenticator.isOperator(authorizationHeader(context))) {
      return true;
    }
    sendProblem(context, ProblemCode.UNAUTHENTICATED, "no operator has this token");
    return false;
  }

  /** Returns whether this VM accepts new work; if not, sends a problem as the reply. */
  boolean requireReady(RoutingContext context) {
    Readiness.Phase phase = readiness.phase();
    if (phase == Readiness.Phase.READY) {
      return true;
    }
    boolean stopping = phase == Readiness.Phase.STOPPING;
    sendProblem(
        context,
        new Problem(
            stopping ? ProblemCode.STOPPING : ProblemCode.NOT_READY,
            stopping ? "this VM is stopping" : "this VM has no settings yet",
            RETRY_AFTER_MS));
    return false;
  }

  static String authorizationHeader(RoutingContext context) {
    return context.request().getHeader("Authorization");
  }
}
