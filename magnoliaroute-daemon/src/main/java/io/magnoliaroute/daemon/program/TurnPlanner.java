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
import io.magnoliaroute.daemon.settings.SettingsBoard.SettingsSnapshot;
import io.vertx.core.json.JsonArray;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checks the order, limits and settings of a turn and reserves room for its history. */
final class TurnPlanner {

  private static final long RETRY_AFTER_MS = 1_000;
  private static final int BYTES_PER_TOKEN = 4;

  private final ProgramServices services;

  TurnPlanner(ProgramServices services) {
    this.services = services;
  }

  /** What becomes of a turn: it runs, or its recorded answer is sent again. */
  record Planned(TurnPlan plan, Turn recorded, ProgramView view) {}

  /** Plans the turn under the partition's lock. Room is reserved if and only if a plan is made. */
  Planned plan(PartitionHost host, CallerRequest request, ChatRequest chat)
      throws ProblemException {
    ProblemException[] refused = new ProblemException[1];
    Planned planned =
        host.read(
            held -> {
              try {
                return planLocked(host, held, request, chat);
              } catch (ProblemException e) {
                refused[0] = e;
                return null;
              }
            });
    if (refused[0] != null) {
      throw refused[0];
    }
    return planned;
  }

  private Planned planLocked(
      PartitionHost host, PartitionCore held, CallerRequest request, ChatRequest chat)
      throws ProblemException {
    ProgramView view = ProgramLookup.require(held, request);
    List<Turn> turns = ProgramLookup.turns(held, view);
    int wanted = wantedTurn(request, turns.size());
    if (wanted < turns.size()) {
      return recorded(request, chat, view, turns.subList(0, wanted + 1));
    }
    ProgramLookup.requireLive(held, request);
    if (wanted > turns.size()) {
      throw problem(
          ProblemCode.TURN_OUT_OF_ORDER, "the next turn is " + turns.size() + ", was " + wanted);
    }
    SettingsSnapshot settings = services.settings().current();
    TeamSettings team = settings.tree().teams().get(view.team());
    if (team == null) {
      throw problem(ProblemCode.UNKNOWN_POOL, "the team was removed");
    }
    checkLimits(view, turns.size(), team.limits());
    PoolSettings pool = settings.poolOfModel().get(chat.model());
    if (pool == null) {
      throw problem(ProblemCode.UNKNOWN_POOL, "no pool serves the model '" + chat.model() + "'");
    }
    JsonArray before = Conversation.of(turns);
    Bytes stored = stored(request, chat, before);
    JsonArray conversation = Conversation.asked(before, stored);
    Fingerprint fingerprint = fingerprint(chat.model(), conversation);
    if (services.retries().refused(fingerprint, services.nowMs())) {
      throw problem(ProblemCode.REQUEST_QUARANTINED, "the request crashed endpoints");
    }
    reserveRoom(host, held, view, stored.sizeBytes() + chat.maxTokens() * BYTES_PER_TOKEN);
    return new Planned(
        new TurnPlan(
            view,
            ProgramLookup.root(held, view),
            team,
            pool,
            wanted,
            stored,
            conversation,
            ChatRequest.estimateTokens(conversation),
            maxPromptTokens(chat, turns, stored),
            fingerprint),
        null,
        view);
  }

  /**
   * Bounds the prompt by what the engine counted for the last turn and by the bytes that came
   * since, because a token has at least one byte.
   */
  private static long maxPromptTokens(ChatRequest chat, List<Turn> turns, Bytes stored) {
    long addedTokens = chat.overheadTokens() + stored.sizeBytes();
    if (turns.isEmpty()) {
      return addedTokens;
    }
    if (!Conversation.keepsAll(stored)) {
      return addedTokens + turns.stream().mapToLong(TurnPlanner::sizeTokens).sum();
    }
    Turn last = turns.get(turns.size() - 1);
    return addedTokens + last.promptTokens() + last.answerTokens();
  }

  private static long sizeTokens(Turn turn) {
    return (long) turn.request().sizeBytes() + turn.answer().sizeBytes();
  }

  private Planned recorded(
      CallerRequest request, ChatRequest chat, ProgramView view, List<Turn> turns)
      throws ProblemException {
    Turn turn = turns.get(turns.size() - 1);
    JsonArray before = Conversation.of(turns.subList(0, turns.size() - 1));
    if (!stored(request, chat, before).equals(turn.request())) {
      throw problem(ProblemCode.TURN_CONFLICT, "turn " + turn.number() + " was another request");
    }
    return new Planned(null, turn, view);
  }

  private static int wantedTurn(CallerRequest request, int next) throws ProblemException {
    Optional<String> named = request.field(CallerRequest.Fields.TURN);
    if (named.isEmpty()) {
      return next;
    }
    try {
      int turn = Integer.parseInt(named.get());
      if (turn >= 0) {
        return turn;
      }
    } catch (NumberFormatException e) {
      throw problem(ProblemCode.INVALID_REQUEST, "the turn is not a number: " + named.get());
    }
    throw problem(ProblemCode.INVALID_REQUEST, "the turn is negative: " + named.get());
  }

  private static Bytes stored(CallerRequest request, ChatRequest chat, JsonArray before) {
    boolean continues =
        request.field(CallerRequest.Fields.HISTORY).filter("continue"::equals).isPresent();
    return continues
        ? Conversation.continued(chat.messages())
        : Conversation.added(before, chat.messages());
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

  private static void reserveRoom(
      PartitionHost host, PartitionCore held, ProgramView view, int sizeBytes)
      throws ProblemException {
    HoldResult room = held.history().reserve(host.partition(), view.id(), sizeBytes);
    switch (room) {
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
