package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.action.ActionReason;
import io.magnoliaroute.core.action.ActionReply;
import io.magnoliaroute.core.action.ActionRequest;
import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.TeamSettings;
import io.magnoliaroute.core.settings.ToolRule;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.ProblemException;
import io.magnoliaroute.daemon.request.Replies;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.daemon.settings.ActiveSettings.SettingsSnapshot;
import io.vertx.core.json.JsonObject;
import java.util.HexFormat;
import java.util.Locale;
import java.util.function.Consumer;

/** Validates action requests, starts their execution and sends the replies. */
final class ActionService {

  private static final long RETRY_AFTER_MS = 1_000;
  private static final int KEY_BYTES = 16;

  private final ProgramDependencies dependencies;

  ActionService(ProgramDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Validates an action and starts its execution; this VM must own the partition.
   *
   * @throws ProblemException if the action is rejected before execution
   */
  void run(PartitionHost host, CallerRequest request, ReplySink sink) throws ProblemException {
    String keyHeader = request.field(CallerRequest.Fields.IDEMPOTENCY_KEY).orElse("");
    ActionContent content = ActionContent.parse(request.body(), keyHeader);
    ActionPlan plan = plan(host, request, content);
    boolean keyIsNew = content.key().isEmpty();
    ActionRequest action = actionRequest(plan, keyIsNew ? generateKey() : content.key(), keyIsNew);
    long startedMs = dependencies.nowMs();
    Consumer<ActionReply> onReply =
        reply ->
            sink.context()
                .runOnContext(
                    run -> {
                      dependencies
                          .metrics()
                          .recordDuration(
                              "action_ms",
                              plan.view().team(),
                              plan.view().priority(),
                              dependencies.nowMs() - startedMs);
                      sendReply(sink, action.key(), reply);
                    });
    if (plan.idempotent()) {
      new IdempotentActionRun(dependencies, plan, action, sink.context(), onReply).start();
    } else {
      new ActionRun(dependencies, host, plan, action, onReply).start();
    }
  }

  private ActionPlan plan(PartitionHost host, CallerRequest request, ActionContent content)
      throws ProblemException {
    ProblemException[] rejection = new ProblemException[1];
    ProgramView view =
        host.withLock(
            core -> {
              try {
                return ProgramLookup.require(core, request);
              } catch (ProblemException e) {
                rejection[0] = e;
                return null;
              }
            });
    if (rejection[0] != null) {
      throw rejection[0];
    }
    SettingsSnapshot settings = dependencies.settings().current();
    TeamSettings team = settings.tree().teams().get(view.team());
    PoolSettings pool = requirePool(settings, content.service());
    if (team == null || team.toolRules().stream().noneMatch(rule -> allows(rule, pool, content))) {
      throw Problem.of(
              ProblemCode.OPERATION_NOT_ALLOWED,
              "the team's tool rules do not allow " + content.service() + "/" + content.operation())
          .asException();
    }
    return new ActionPlan(view, team, pool, content);
  }

  private static PoolSettings requirePool(SettingsSnapshot settings, String name)
      throws ProblemException {
    try {
      return settings.servicePool(new PoolId(name)).orElseThrow(() -> unknownService(name));
    } catch (IllegalArgumentException e) {
      throw unknownService(name);
    }
  }

  private static ProblemException unknownService(String name) {
    return Problem.of(ProblemCode.UNKNOWN_POOL, "no service pool '" + name + "'").asException();
  }

  private static boolean allows(ToolRule rule, PoolSettings pool, ActionContent content) {
    return rule.service().equals(pool.id()) && rule.operations().contains(content.operation());
  }

  private ActionRequest actionRequest(ActionPlan plan, String key, boolean keyIsNew)
      throws ProblemException {
    long nowMs = dependencies.nowMs();
    long deadlineMs = nowMs + plan.content().timeoutMs();
    if (plan.view().deadlineAtMs() > 0) {
      deadlineMs = Math.min(deadlineMs, plan.view().deadlineAtMs());
    }
    try {
      return new ActionRequest(
          plan.view().id(),
          key,
          0,
          plan.content().service(),
          plan.content().intentContent(),
          plan.idempotent(),
          keyIsNew,
          deadlineMs);
    } catch (IllegalArgumentException e) {
      throw Problem.of(ProblemCode.INVALID_REQUEST, e.getMessage()).asException();
    }
  }

  private String generateKey() {
    byte[] keyBytes = new byte[KEY_BYTES];
    dependencies.random().nextBytes(keyBytes);
    return HexFormat.of().formatHex(keyBytes);
  }

  private void sendReply(ReplySink sink, String key, ActionReply reply) {
    dependencies.metrics().increment("actions", "outcome", reply.outcome().wireName());
    if (reply.outcome() == Outcome.DONE) {
      JsonObject body =
          new JsonObject()
              .put("idempotency_key", key)
              .put("reason", wireName(reply.reason()))
              .put(
                  "result",
                  reply.result().sizeBytes() == 0 ? null : Conversation.decode(reply.result()));
      Replies.sendDone(sink, 200, body);
      return;
    }
    JsonObject extraFields =
        new JsonObject().put("idempotency_key", key).put("reason", wireName(reply.reason()));
    Replies.sendProblem(sink, toProblem(reply), extraFields);
  }

  private static Problem toProblem(ActionReply reply) {
    if (reply.outcome() == Outcome.UNKNOWN) {
      return Problem.of(ProblemCode.OUTCOME_UNKNOWN, wireName(reply.reason()));
    }
    ProblemCode code =
        switch (reply.reason()) {
          case KEY_OF_OTHER_REQUEST -> ProblemCode.KEY_CONFLICT;
          case PROGRAM_UNKNOWN -> ProblemCode.UNKNOWN_PROGRAM;
          case PROGRAM_ENDED -> ProblemCode.PROGRAM_ENDED;
          case NOT_OWNER -> ProblemCode.OWNER_UNREACHABLE;
          case LOG_FULL -> ProblemCode.LOG_UNAVAILABLE;
          case DEADLINE_BEFORE_SEND -> ProblemCode.DEADLINE_PASSED;
          default -> ProblemCode.ENDPOINT_UNREACHABLE;
        };
    long retryAfterMs = code.status() == 503 ? RETRY_AFTER_MS : 0;
    return new Problem(code, wireName(reply.reason()), retryAfterMs);
  }

  private static String wireName(ActionReason reason) {
    return reason.name().toLowerCase(Locale.ROOT);
  }
}
