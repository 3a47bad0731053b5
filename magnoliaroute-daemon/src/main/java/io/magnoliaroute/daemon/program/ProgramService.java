package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.log.AbandonResult;
import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.EndReason;
import io.magnoliaroute.core.program.IdlePrograms;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.program.RecordRefusal;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.core.program.Verdict;
import io.magnoliaroute.core.settings.TeamSettings;
import io.magnoliaroute.daemon.engine.ChatRequest;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.ProblemException;
import io.magnoliaroute.daemon.request.Replies;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.daemon.request.RequestHandler;
import io.magnoliaroute.daemon.request.RequestKind;
import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Executes caller requests at the partition owner. */
public final class ProgramService implements RequestHandler {

  private static final long LOG_TIMEOUT_MS = 3_000;
  private static final long RETRY_AFTER_MS = 1_000;

  private final ProgramDependencies dependencies;
  private final TurnPlanner planner;
  private final ActionService actions;
  private final OpenIntentRecovery intentRecovery;
  private final ProgramEndListener endListener;
  private final Consumer<PartitionHost> onClaimed;
  private final Map<ProgramId, TurnExecution> activeTurns = new ConcurrentHashMap<>();
  private final Map<Integer, IdlePrograms> idlePrograms = new ConcurrentHashMap<>();
  private final Set<Integer> recoveredPartitions = ConcurrentHashMap.newKeySet();

  /**
   * Creates the service.
   *
   * @param dependencies the dependencies of program execution
   * @param endListener notified of each program that ends
   * @param onClaimed called with each partition that this VM has claimed
   */
  public ProgramService(
      ProgramDependencies dependencies,
      ProgramEndListener endListener,
      Consumer<PartitionHost> onClaimed) {
    this.onClaimed = onClaimed;
    this.dependencies = dependencies;
    this.endListener = endListener;
    this.planner = new TurnPlanner(dependencies);
    this.actions = new ActionService(dependencies);
    this.intentRecovery = new OpenIntentRecovery(dependencies);
  }

  @Override
  public void handle(CallerRequest request, ReplySink sink) {
    dependencies.metrics().increment("requests", "kind", request.kind().wireName());
    if (request.kind() == RequestKind.LIST) {
      list(request, sink);
      return;
    }
    PartitionHost host = dependencies.partitions().hostOf(request.program());
    ensureOwned(host)
        .onComplete(
            result ->
                sink.context()
                    .runOnContext(
                        ignored -> {
                          if (result.succeeded()) {
                            dispatch(host, request, sink);
                          } else {
                            Replies.sendProblem(
                                sink, notRun(ProblemException.problemOf(result.cause())));
                          }
                        }));
  }

  /** Returns the number of turns that are running. */
  public int runningTurns() {
    return activeTurns.size();
  }

  /**
   * Claims the partition if this VM does not own it, and starts recovery of the open intents of
   * earlier owners. Completes when this VM owns the partition.
   */
  public Future<Void> ensureOwned(PartitionHost host) {
    if (host.isOwner()) {
      return host.ensureRecentState()
          .compose(read -> host.isOwner() ? Future.succeededFuture() : claim(host));
    }
    return claim(host);
  }

  private Future<Void> claim(PartitionHost host) {
    recoveredPartitions.remove(host.partition());
    return host.acquireOwnership()
        .onSuccess(
            claimed -> {
              if (recoveredPartitions.add(host.partition())) {
                intentRecovery.start(host);
                onClaimed.accept(host);
              }
            });
  }

  private void dispatch(PartitionHost host, CallerRequest request, ReplySink sink) {
    try {
      switch (request.kind()) {
        case START -> start(host, request, sink);
        case TURN -> turn(host, request, sink);
        case ACTION -> actions.run(host, request, sink);
        case END -> end(host, request, sink, EndReason.ENDED);
        case CANCEL -> end(host, request, sink, EndReason.CANCELLED);
        case SHOW -> show(host, request, sink);
        case HISTORY -> history(host, request, sink);
        default ->
            throw Problem.of(ProblemCode.INVALID_REQUEST, request.kind().wireName()).asException();
      }
    } catch (ProblemException e) {
      Replies.sendProblem(sink, e.problem());
    }
  }

  private void start(PartitionHost host, CallerRequest request, ReplySink sink)
      throws ProblemException {
    StartRequest start =
        StartRequest.parse(request, dependencies.settings().current(), dependencies.nowMs());
    Submission submission =
        host.submit(
            (id, epoch) ->
                new ProgramRecord.ProgramStarted(
                    id,
                    epoch,
                    request.program(),
                    request.team(),
                    start.priority(),
                    dependencies.nowMs(),
                    start.deadlineAtMs(),
                    start.parent(),
                    start.clientKey()));
    awaitVerdict(
        host,
        submission,
        sink,
        result -> {
          ProgramId program = request.program();
          if (result.verdict() instanceof Verdict.AlreadyStarted duplicate) {
            program = duplicate.program();
          } else if (!result.isAccepted()) {
            Replies.sendProblem(sink, startRejection(result.verdict()));
            return;
          }
          Replies.sendDone(
              sink,
              201,
              new JsonObject()
                  .put("program", program.value())
                  .put("class", start.priority().wireName()));
        });
  }

  private static Problem startRejection(Verdict verdict) {
    RecordRefusal reason = ((Verdict.Refused) verdict).reason();
    return switch (reason) {
      case PARENT_UNKNOWN, PARENT_OF_OTHER_TEAM ->
          Problem.of(ProblemCode.UNKNOWN_PROGRAM, "no such parent");
      case PARENT_ENDED -> Problem.of(ProblemCode.PROGRAM_ENDED, "the parent has ended");
      default -> new Problem(ProblemCode.OWNER_UNREACHABLE, reason.name(), RETRY_AFTER_MS);
    };
  }

  private void turn(PartitionHost host, CallerRequest request, ReplySink sink)
      throws ProblemException {
    ChatRequest chat = ChatRequest.parse(request.body());
    TurnPlanner.PlanningResult planned = planner.plan(host, request, chat);
    if (planned.recorded() != null) {
      dependencies.metrics().increment("turns_repeated");
      new TurnResponseWriter(sink, chat, request.program().value()).replay(planned.recorded());
      return;
    }
    ProgramId program = request.program();
    TurnExecution execution =
        new TurnExecution(
            dependencies, host, planned.plan(), chat, sink, () -> activeTurns.remove(program));
    activeTurns.put(program, execution);
    execution.start();
  }

  private void end(PartitionHost host, CallerRequest request, ReplySink sink, EndReason reason)
      throws ProblemException {
    ProgramView view = requireView(host, request);
    if (!view.isLive()) {
      Replies.sendDone(sink, 200, summary(view, view.nextTurnNumber()));
      return;
    }
    TurnExecution execution = activeTurns.get(view.id());
    if (execution != null && reason == EndReason.CANCELLED) {
      execution.cancel();
    } else if (execution != null) {
      throw Problem.of(ProblemCode.TURN_IN_PROGRESS, "a turn of the program is running")
          .asException();
    }
    Submission submission =
        host.submit(
            (id, epoch) ->
                new ProgramRecord.ProgramEnded(
                    id, epoch, view.id(), reason, view.nextTurnNumber()));
    ProgramId root = host.withLock(core -> ProgramLookup.root(core, view));
    awaitVerdict(
        host,
        submission,
        sink,
        result -> {
          endListener.onProgramEnded(view.id(), root);
          dependencies.hints().remove(view.id());
          Replies.sendDone(
              sink,
              200,
              new JsonObject()
                  .put("program", view.id().value())
                  .put("turns", view.nextTurnNumber())
                  .put("end", reason.name().toLowerCase(Locale.ROOT)));
        });
  }

  /** Ends the programs of an owned partition that have been idle for their team's idle timeout. */
  public void expireIdlePrograms(PartitionHost host) {
    List<ProgramView> live =
        host.withLock(
            core ->
                core.state().livePrograms().stream()
                    .map(id -> core.state().program(id))
                    .flatMap(Optional::stream)
                    .toList());
    idlePrograms
        .computeIfAbsent(host.partition(), partition -> new IdlePrograms())
        .findIdle(live, activeTurns::containsKey, this::idleTimeoutMs, dependencies.nowMs())
        .forEach(view -> expire(host, view));
  }

  private long idleTimeoutMs(ProgramView view) {
    TeamSettings team = dependencies.settings().current().tree().teams().get(view.team());
    return team == null ? 0 : team.limits().idleTimeoutMs();
  }

  private void expire(PartitionHost host, ProgramView view) {
    ProgramId root = host.withLock(core -> ProgramLookup.root(core, view));
    host.submit(
            (id, epoch) ->
                new ProgramRecord.ProgramEnded(
                    id, epoch, view.id(), EndReason.LAPSED, view.nextTurnNumber()))
        .result()
        .onSuccess(
            result -> {
              if (result.isAccepted()) {
                dependencies.metrics().increment("programs_lapsed");
                endListener.onProgramEnded(view.id(), root);
                dependencies.hints().remove(view.id());
              }
            });
  }

  private void show(PartitionHost host, CallerRequest request, ReplySink sink)
      throws ProblemException {
    ProgramView view = requireView(host, request);
    int turns = host.withLock(core -> ProgramLookup.turns(core, view)).size();
    Replies.sendDone(sink, 200, summary(view, turns));
  }

  private void history(PartitionHost host, CallerRequest request, ReplySink sink)
      throws ProblemException {
    ProgramView view = requireView(host, request);
    List<Turn> turns = host.withLock(core -> ProgramLookup.turns(core, view));
    JsonArray listed = new JsonArray();
    for (Turn turn : turns) {
      listed.add(
          new JsonObject()
              .put("turn", turn.number())
              .put("logged", turn.number() < view.nextTurnNumber())
              .put("prompt_tokens", turn.promptTokens())
              .put("completion_tokens", turn.answerTokens()));
    }
    Replies.sendDone(
        sink,
        200,
        new JsonObject()
            .put("program", view.id().value())
            .put("turns", listed)
            .put("messages", Conversation.fromTurns(turns)));
  }

  private void list(CallerRequest request, ReplySink sink) {
    boolean operator = request.field(CallerRequest.Fields.OPERATOR).isPresent();
    List<ProgramView> views = new ArrayList<>();
    for (PartitionHost host : dependencies.partitions().ownedPartitions()) {
      views.addAll(
          host.withLock(
              core ->
                  core.state().livePrograms().stream()
                      .map(id -> core.state().program(id))
                      .flatMap(Optional::stream)
                      .filter(view -> operator || ProgramLookup.belongsTo(view, request.team()))
                      .toList()));
    }
    JsonArray listed = new JsonArray();
    views.forEach(view -> listed.add(summary(view, view.nextTurnNumber())));
    Replies.sendDone(sink, 200, new JsonObject().put("programs", listed));
  }

  private JsonObject summary(ProgramView view, int turns) {
    return new JsonObject()
        .put("program", view.id().value())
        .put("team", view.team().value())
        .put("class", view.priority().wireName())
        .put("state", view.isLive() ? "live" : "ended")
        .put("end", view.end().map(end -> end.name().toLowerCase(Locale.ROOT)).orElse(null))
        .put("parent", view.parent().map(ProgramId::value).orElse(null))
        .put("turns", turns)
        .put("tokens", view.tokensConsumed())
        .put("actions", view.actionKeyCount())
        .put("started_ms", view.startedAtMs())
        .put("deadline_ms", view.deadlineAtMs())
        .put("running", activeTurns.containsKey(view.id()));
  }

  private static ProgramView requireView(PartitionHost host, CallerRequest request)
      throws ProblemException {
    Optional<ProgramView> view =
        host.withLock(
            core -> {
              try {
                return Optional.of(ProgramLookup.require(core, request));
              } catch (ProblemException e) {
                return Optional.empty();
              }
            });
    return view.orElseThrow(() -> ProgramLookup.unknownProgram(request.program()));
  }

  /**
   * Replies when the record is read back, or after {@link #LOG_TIMEOUT_MS}. A record that may still
   * be appended by then is reported with an unknown outcome.
   */
  private void awaitVerdict(
      PartitionHost host, Submission submission, ReplySink sink, Consumer<AppendResult> onResult) {
    boolean[] replied = new boolean[1];
    long timer =
        dependencies
            .vertx()
            .setTimer(
                LOG_TIMEOUT_MS,
                timerId ->
                    sink.context()
                        .runOnContext(
                            ignored -> {
                              if (!replied[0]) {
                                replied[0] = true;
                                Replies.sendProblem(sink, logTimeout(host, submission));
                              }
                            }));
    submission
        .result()
        .onComplete(
            result ->
                sink.context()
                    .runOnContext(
                        ignored -> {
                          dependencies.vertx().cancelTimer(timer);
                          if (replied[0]) {
                            return;
                          }
                          replied[0] = true;
                          if (result.succeeded()) {
                            onResult.accept(result.result());
                          } else {
                            Replies.sendProblem(sink, ProblemException.problemOf(result.cause()));
                          }
                        }));
  }

  private static Problem logTimeout(PartitionHost host, Submission submission) {
    boolean notAppended = host.abandon(submission.id()) == AbandonResult.NEVER_APPENDED;
    return notAppended
        ? new Problem(ProblemCode.LOG_UNAVAILABLE, "the log did not answer", RETRY_AFTER_MS)
        : Problem.of(ProblemCode.OUTCOME_UNKNOWN, "the log did not answer in time");
  }

  /**
   * Returns a problem whose outcome is that the request did not run, because it failed before this
   * VM owned the partition.
   */
  private static Problem notRun(Problem problem) {
    boolean reportsNotRun = problem.code().outcome() == Outcome.NOT_RUN;
    return reportsNotRun
        ? problem
        : new Problem(ProblemCode.OWNER_UNREACHABLE, problem.detail(), RETRY_AFTER_MS);
  }
}
