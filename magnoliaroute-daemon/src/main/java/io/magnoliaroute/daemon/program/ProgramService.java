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

/** Carries out requests at the partition owner. */
public final class ProgramService implements RequestHandler {

  private static final long LOG_WAIT_MS = 3_000;
  private static final long RETRY_AFTER_MS = 1_000;

  private final ProgramServices services;
  private final TurnPlanner planner;
  private final ActionService actions;
  private final Recoveries recoveries;
  private final ProgramEndings endings;
  private final Consumer<PartitionHost> onTaken;
  private final Map<ProgramId, TurnRun> running = new ConcurrentHashMap<>();
  private final Map<Integer, IdlePrograms> idle = new ConcurrentHashMap<>();
  private final Set<Integer> recovered = ConcurrentHashMap.newKeySet();

  /**
   * Makes the service.
   *
   * @param services what the orchestration uses
   * @param endings hears of programs that ended
   * @param onTaken hears of partitions that this VM took
   */
  public ProgramService(
      ProgramServices services, ProgramEndings endings, Consumer<PartitionHost> onTaken) {
    this.onTaken = onTaken;
    this.services = services;
    this.endings = endings;
    this.planner = new TurnPlanner(services);
    this.actions = new ActionService(services);
    this.recoveries = new Recoveries(services);
  }

  @Override
  public void handle(CallerRequest request, ReplySink sink) {
    services.metrics().count("requests", "kind", request.kind().wireName());
    if (request.kind() == RequestKind.LIST) {
      list(request, sink);
      return;
    }
    PartitionHost host = services.partitions().of(request.program());
    own(host)
        .onComplete(
            done ->
                sink.context()
                    .runOnContext(
                        run -> {
                          if (done.succeeded()) {
                            carryOut(host, request, sink);
                          } else {
                            Replies.problem(sink, notRun(ProblemException.of(done.cause())));
                          }
                        }));
  }

  /** Returns the turns that run now. */
  public int runningTurns() {
    return running.size();
  }

  /** Takes the partition where this VM does not hold it, and settles what an earlier owner left. */
  public Future<Void> own(PartitionHost host) {
    if (host.isOwner()) {
      return host.confirm().compose(read -> host.isOwner() ? Future.succeededFuture() : take(host));
    }
    return take(host);
  }

  private Future<Void> take(PartitionHost host) {
    recovered.remove(host.partition());
    return host.own()
        .onSuccess(
            owned -> {
              if (recovered.add(host.partition())) {
                recoveries.start(host);
                onTaken.accept(host);
              }
            });
  }

  private void carryOut(PartitionHost host, CallerRequest request, ReplySink sink) {
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
      Replies.problem(sink, e.problem());
    }
  }

  private void start(PartitionHost host, CallerRequest request, ReplySink sink)
      throws ProblemException {
    StartRequest start =
        StartRequest.parse(request, services.settings().current(), services.nowMs());
    Submission submission =
        host.submit(
            (id, epoch) ->
                new ProgramRecord.ProgramStarted(
                    id,
                    epoch,
                    request.program(),
                    request.team(),
                    start.priority(),
                    services.nowMs(),
                    start.deadlineAtMs(),
                    start.parent(),
                    start.clientKey()));
    awaitVerdict(
        host,
        submission,
        sink,
        applied -> {
          ProgramId program = request.program();
          if (applied.verdict() instanceof Verdict.AlreadyStarted before) {
            program = before.program();
          } else if (!applied.accepted()) {
            Replies.problem(sink, startRefused(applied.verdict()));
            return;
          }
          Replies.done(
              sink,
              201,
              new JsonObject()
                  .put("program", program.value())
                  .put("class", start.priority().wireName()));
        });
  }

  private static Problem startRefused(Verdict verdict) {
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
    TurnPlanner.Planned planned = planner.plan(host, request, chat);
    if (planned.recorded() != null) {
      services.metrics().count("turns_repeated");
      new TurnReply(sink, chat, request.program().value()).recorded(planned.recorded());
      return;
    }
    ProgramId program = request.program();
    TurnRun run =
        new TurnRun(services, host, planned.plan(), chat, sink, () -> running.remove(program));
    running.put(program, run);
    run.start();
  }

  private void end(PartitionHost host, CallerRequest request, ReplySink sink, EndReason reason)
      throws ProblemException {
    ProgramView view = requireView(host, request);
    if (!view.isLive()) {
      Replies.done(sink, 200, summary(view, view.nextTurnNumber()));
      return;
    }
    TurnRun run = running.get(view.id());
    if (run != null && reason == EndReason.CANCELLED) {
      run.cancel();
    } else if (run != null) {
      throw Problem.of(ProblemCode.TURN_IN_PROGRESS, "a turn of the program is running")
          .asException();
    }
    Submission submission =
        host.submit(
            (id, epoch) ->
                new ProgramRecord.ProgramEnded(
                    id, epoch, view.id(), reason, view.nextTurnNumber()));
    ProgramId root = host.read(held -> ProgramLookup.root(held, view));
    awaitVerdict(
        host,
        submission,
        sink,
        applied -> {
          endings.ended(view.id(), root);
          services.memory().forget(view.id());
          Replies.done(
              sink,
              200,
              new JsonObject()
                  .put("program", view.id().value())
                  .put("turns", view.nextTurnNumber())
                  .put("end", reason.name().toLowerCase(Locale.ROOT)));
        });
  }

  /** Ends the programs of an owned partition that no caller has used for the team's idle time. */
  public void lapseIdle(PartitionHost host) {
    List<ProgramView> live =
        host.read(
            held ->
                held.state().livePrograms().stream()
                    .map(id -> held.state().program(id))
                    .flatMap(Optional::stream)
                    .toList());
    idle.computeIfAbsent(host.partition(), partition -> new IdlePrograms())
        .findIdle(live, running::containsKey, this::idleTimeoutMs, services.nowMs())
        .forEach(view -> lapse(host, view));
  }

  private long idleTimeoutMs(ProgramView view) {
    TeamSettings team = services.settings().current().tree().teams().get(view.team());
    return team == null ? 0 : team.limits().idleTimeoutMs();
  }

  private void lapse(PartitionHost host, ProgramView view) {
    ProgramId root = host.read(held -> ProgramLookup.root(held, view));
    host.submit(
            (id, epoch) ->
                new ProgramRecord.ProgramEnded(
                    id, epoch, view.id(), EndReason.LAPSED, view.nextTurnNumber()))
        .applied()
        .onSuccess(
            applied -> {
              if (applied.accepted()) {
                services.metrics().count("programs_lapsed");
                endings.ended(view.id(), root);
                services.memory().forget(view.id());
              }
            });
  }

  private void show(PartitionHost host, CallerRequest request, ReplySink sink)
      throws ProblemException {
    ProgramView view = requireView(host, request);
    int turns = host.read(held -> ProgramLookup.turns(held, view)).size();
    Replies.done(sink, 200, summary(view, turns));
  }

  private void history(PartitionHost host, CallerRequest request, ReplySink sink)
      throws ProblemException {
    ProgramView view = requireView(host, request);
    List<Turn> turns = host.read(held -> ProgramLookup.turns(held, view));
    JsonArray listed = new JsonArray();
    for (Turn turn : turns) {
      listed.add(
          new JsonObject()
              .put("turn", turn.number())
              .put("logged", turn.number() < view.nextTurnNumber())
              .put("prompt_tokens", turn.promptTokens())
              .put("completion_tokens", turn.answerTokens()));
    }
    Replies.done(
        sink,
        200,
        new JsonObject()
            .put("program", view.id().value())
            .put("turns", listed)
            .put("messages", Conversation.of(turns)));
  }

  private void list(CallerRequest request, ReplySink sink) {
    boolean operator = request.field(CallerRequest.Fields.OPERATOR).isPresent();
    List<ProgramView> views = new ArrayList<>();
    for (PartitionHost host : services.partitions().owned()) {
      views.addAll(
          host.read(
              held ->
                  held.state().livePrograms().stream()
                      .map(id -> held.state().program(id))
                      .flatMap(Optional::stream)
                      .filter(view -> operator || ProgramLookup.isOf(view, request.team()))
                      .toList()));
    }
    JsonArray listed = new JsonArray();
    views.forEach(view -> listed.add(summary(view, view.nextTurnNumber())));
    Replies.done(sink, 200, new JsonObject().put("programs", listed));
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
        .put("running", running.containsKey(view.id()));
  }

  private static ProgramView requireView(PartitionHost host, CallerRequest request)
      throws ProblemException {
    Optional<ProgramView> view =
        host.read(
            held -> {
              try {
                return Optional.of(ProgramLookup.require(held, request));
              } catch (ProblemException e) {
                return Optional.empty();
              }
            });
    return view.orElseThrow(() -> ProgramLookup.unknown(request.program()));
  }

  /** Replies when the record is read back; a record that may still land is not called off. */
  private void awaitVerdict(
      PartitionHost host, Submission submission, ReplySink sink, Consumer<Applied> onApplied) {
    boolean[] replied = new boolean[1];
    long timer =
        services
            .vertx()
            .setTimer(
                LOG_WAIT_MS,
                fired ->
                    sink.context()
                        .runOnContext(
                            run -> {
                              if (!replied[0]) {
                                replied[0] = true;
                                Replies.problem(sink, logSlow(host, submission));
                              }
                            }));
    submission
        .applied()
        .onComplete(
            done ->
                sink.context()
                    .runOnContext(
                        run -> {
                          services.vertx().cancelTimer(timer);
                          if (replied[0]) {
                            return;
                          }
                          replied[0] = true;
                          if (done.succeeded()) {
                            onApplied.accept(done.result());
                          } else {
                            Replies.problem(sink, ProblemException.of(done.cause()));
                          }
                        }));
  }

  private static Problem logSlow(PartitionHost host, Submission submission) {
    boolean neverLands = host.abandon(submission.id()) == AbandonResult.NEVER_APPENDED;
    return neverLands
        ? new Problem(ProblemCode.LOG_UNAVAILABLE, "the log did not answer", RETRY_AFTER_MS)
        : Problem.of(ProblemCode.OUTCOME_UNKNOWN, "the log did not answer in time");
  }

  /** A request that failed before the partition was owned did not run. */
  private static Problem notRun(Problem problem) {
    boolean certain = problem.code().outcome() == Outcome.NOT_RUN;
    return certain
        ? problem
        : new Problem(ProblemCode.OWNER_UNREACHABLE, problem.detail(), RETRY_AFTER_MS);
  }
}
