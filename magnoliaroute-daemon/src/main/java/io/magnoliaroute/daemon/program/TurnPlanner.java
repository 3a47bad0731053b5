package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.program.HoldResult;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.core.retry.Fingerprint;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.ProgramLimits;
import io.magnoliaroute.core.settings.TeamSettings;
import io.magnoliaroute.daemon.engine.ChatRequest;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.ProblemException;
import io.magnoliaroute.daemon.settings.ActiveSettings.SettingsSnapshot;
import io.vertx.core.json.JsonArray;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checks the order, limits and settings of a turn and reserves room for its history. */
final class TurnPlanner {

  private static final long RETRY_AFTER_MS = 1_000;
  private static final int BYTES_PER_TOKEN = 4;

  private final ProgramDependencies dependencies;

  TurnPlanner(ProgramDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * The result of planning a turn.
   *
   * @param plan the plan of a turn to run, null for a replay
   * @param recorded the turn whose recorded response is replayed, null for a turn to run
   * @param view the program
   */
  record PlanningResult(TurnPlan plan, Turn recorded, ProgramView view) {}

  /**
   * Plans the turn under the partition's lock. Room in the history buffer is reserved if and only
   * if the result has a plan.
   */
  PlanningResult plan(PartitionHost host, CallerRequest request, ChatRequest chat)
      throws ProblemException {
    ProblemException[] problem = new ProblemException[1];
    PlanningResult planned =
        host.withLock(
            core -> {
              try {
                return planLocked(host, core, request, chat);
              } catch (ProblemException e) {
                problem[0] = e;
                return null;
              }
            });
    if (problem[0] != null) {
      throw problem[0];
    }
    return planned;
  }

  private PlanningResult planLocked(
      PartitionHost host, PartitionCore core, CallerRequest request, ChatRequest chat)
      throws ProblemException {
    ProgramView view = ProgramLookup.require(core, request);
    List<Turn> turns = ProgramLookup.turns(core, view);
    int requested = requestedTurn(request, turns.size());
    if (requested < turns.size()) {
      return planReplay(request, chat, view, turns.subList(0, requested + 1));
    }
    ProgramLookup.requireLive(core, request);
    if (requested > turns.size()) {
      throw problem(
          ProblemCode.TURN_OUT_OF_ORDER, "the next turn is " + turns.size() + ", was " + requested);
    }
    SettingsSnapshot settings = dependencies.settings().current();
    TeamSettings team = settings.tree().teams().get(view.team());
    if (team == null) {
      throw problem(ProblemCode.UNKNOWN_POOL, "the team was removed");
    }
    checkLimits(view, turns.size(), team.limits());
    PoolSettings pool = settings.poolByModel().get(chat.model());
    if (pool == null) {
      throw problem(ProblemCode.UNKNOWN_POOL, "no pool serves the model '" + chat.model() + "'");
    }
    JsonArray history = Conversation.fromTurns(turns);
    Bytes stored = storedRequest(request, chat, history);
    JsonArray conversation = Conversation.applyRequest(history, stored);
    Fingerprint fingerprint = fingerprint(chat.model(), conversation);
    if (dependencies.retries().isQuarantined(fingerprint, dependencies.nowMs())) {
      throw problem(ProblemCode.REQUEST_QUARANTINED, "the request crashed endpoints");
    }
    reserveHistory(host, core, view, stored.sizeBytes() + chat.maxTokens() * BYTES_PER_TOKEN);
    return new PlanningResult(
        new TurnPlan(
            view,
            ProgramLookup.root(core, view),
            team,
            pool,
            requested,
            stored,
            conversation,
            ChatRequest.estimateTokens(conversation),
            maxPromptTokens(chat, turns, stored),
            fingerprint),
        null,
        view);
  }

  /**
   * Returns an upper bound on the prompt tokens: the tokens that the engine counted for the last
   * turn plus the bytes added since, because a token has at least one byte. If the request does not
   * keep all earlier messages, the bytes of all turns replace the counted tokens.
   */
  private static long maxPromptTokens(ChatRequest chat, List<Turn> turns, Bytes stored) {
    long addedTokens = chat.overheadTokens() + stored.sizeBytes();
    if (turns.isEmpty()) {
      return addedTokens;
    }
    if (!Conversation.keepsAllMessages(stored)) {
      return addedTokens + turns.stream().mapToLong(TurnPlanner::maxTokensOf).sum();
    }
    Turn last = turns.get(turns.size() - 1);
    return addedTokens + last.promptTokens() + last.answerTokens();
  }

  private static long maxTokensOf(Turn turn) {
    return (long) turn.request().sizeBytes() + turn.answer().sizeBytes();
  }

  private PlanningResult planReplay(
      CallerRequest request, ChatRequest chat, ProgramView view, List<Turn> turns)
      throws ProblemException {
    Turn turn = turns.get(turns.size() - 1);
    JsonArray history = Conversation.fromTurns(turns.subList(0, turns.size() - 1));
    if (!storedRequest(request, chat, history).equals(turn.request())) {
      throw problem(ProblemCode.TURN_CONFLICT, "turn " + turn.number() + " was another request");
    }
    return new PlanningResult(null, turn, view);
  }

  private static int requestedTurn(CallerRequest request, int next) throws ProblemException {
    Optional<String> field = request.field(CallerRequest.Fields.TURN);
    if (field.isEmpty()) {
      return next;
    }
    try {
      int turn = Integer.parseInt(field.get());
      if (turn >= 0) {
        return turn;
      }
    } catch (NumberFormatException e) {
      throw problem(ProblemCode.INVALID_REQUEST, "the turn is not a number: " + field.get());
    }
    throw problem(ProblemCode.INVALID_REQUEST, "the turn is negative: " + field.get());
  }

  private static Bytes storedRequest(CallerRequest request, ChatRequest chat, JsonArray history) {
    boolean continues =
        request.field(CallerRequest.Fields.HISTORY).filter("continue"::equals).isPresent();
    return continues
        ? Conversation.encodeNewMessages(chat.messages())
        : Conversation.encodeConversation(history, chat.messages());
  }

  private static void checkLimits(ProgramView view, int turns, ProgramLimits limits)
      throws ProblemException {
    if (turns >= limits.maxTurns()) {
      throw problem(ProblemCode.PROGRAM_LIMIT, "max_turns reached: " + limits.maxTurns());
    }
    if (view.tokensConsumed() >= limits.maxTokens()) {
      throw problem(ProblemCode.PROGRAM_LIMIT, "max_tokens reached: " + limits.maxTokens());
    }
    if (view.consecutiveRepeats() >= limits.maxRepeats()) {
      throw problem(ProblemCode.PROGRAM_LIMIT, "max_repeats reached: " + limits.maxRepeats());
    }
  }

  private static void reserveHistory(
      PartitionHost host, PartitionCore core, ProgramView view, int sizeBytes)
      throws ProblemException {
    HoldResult result = core.history().reserve(host.partition(), view.id(), sizeBytes);
    switch (result) {
      case HELD -> {}
      case OUT_OF_ORDER ->
          throw problem(ProblemCode.TURN_IN_PROGRESS, "another turn of the program is running");
      default ->
          throw new Problem(
                  ProblemCode.UNLOGGED_LIMIT, "too much history is unlogged", RETRY_AFTER_MS)
              .asException();
    }
  }

  private static Fingerprint fingerprint(String model, JsonArray conversation) {
    List<String> messages = new ArrayList<>(conversation.size());
    conversation.forEach(message -> messages.add(message.toString()));
    return Fingerprint.ofModelCall(model, messages);
  }

  private static ProblemException problem(ProblemCode code, String detail) {
    return Problem.of(code, detail).asException();
  }
}
