package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.daemon.engine.ChatRequest;
import io.magnoliaroute.daemon.engine.EngineResponse;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.Replies;
import io.magnoliaroute.daemon.request.ReplySink;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;

/** Writes the response to one turn, as server-sent events or as one JSON body. */
final class TurnResponseWriter {

  private static final String DONE_EVENT = "data: [DONE]\n\n";

  private final ReplySink sink;
  private final ChatRequest chat;
  private final String program;
  private boolean headSent;

  TurnResponseWriter(ReplySink sink, ChatRequest chat, String program) {
    this.sink = sink;
    this.chat = chat;
    this.program = program;
  }

  boolean hasStarted() {
    return headSent;
  }

  void writeTokens(Buffer events) {
    if (!chat.stream() || sink.isClosed()) {
      return;
    }
    startStream();
    sink.write(events);
  }

  void complete(EngineResponse response, int turn, boolean logged, boolean urgentDemoted) {
    if (sink.isClosed()) {
      return;
    }
    JsonObject extra =
        new JsonObject()
            .put("program", program)
            .put("turn", turn)
            .put("history", logged ? "logged" : "unlogged");
    if (urgentDemoted) {
      extra.put("urgent_demoted", true);
    }
    if (chat.stream()) {
      endStream(response, extra);
      return;
    }
    Replies.sendDone(sink, 200, plainBody(response).mergeIn(extra));
  }

  /** Sends the response of a recorded turn again. */
  void replay(Turn turn) {
    JsonObject message = Conversation.decode(turn.answer());
    EngineResponse response =
        new EngineResponse(
            "recorded", message, "stop", turn.promptTokens(), turn.answerTokens(), 0);
    if (chat.stream()) {
      startStream();
      JsonObject delta = new JsonObject().put("content", message.getValue("content"));
      if (message.containsKey("tool_calls")) {
        delta.put("tool_calls", message.getValue("tool_calls"));
      }
      JsonObject choice =
          new JsonObject().put("index", 0).put("delta", delta).putNull("finish_reason");
      writeEvent(chunk(response.id(), choice));
    }
    complete(response, turn.number(), true, false);
  }

  void fail(Problem problem) {
    if (sink.isClosed()) {
      return;
    }
    if (!headSent) {
      Replies.sendProblem(sink, problem);
      return;
    }
    sink.write(
        Buffer.buffer("event: error\ndata: " + Replies.problemBody(problem).encode() + "\n\n"));
    sink.end();
  }

  private void startStream() {
    if (headSent) {
      return;
    }
    headSent = true;
    // The outcome is unknown until the final event, which contains it.
    sink.writeHead(
        200,
        Map.of(
            "Content-Type",
            "text/event-stream",
            "Cache-Control",
            "no-cache",
            Replies.OUTCOME_HEADER,
            Outcome.UNKNOWN.wireName()));
  }

  private void endStream(EngineResponse response, JsonObject extra) {
    startStream();
    JsonObject choice =
        new JsonObject()
            .put("index", 0)
            .put("delta", new JsonObject())
            .put("finish_reason", response.finishReason());
    writeEvent(
        chunk(response.id(), choice)
            .put("usage", usage(response))
            .put("outcome", Outcome.DONE.wireName())
            .mergeIn(extra));
    sink.write(Buffer.buffer(DONE_EVENT));
    sink.end();
  }

  private void writeEvent(JsonObject body) {
    sink.write(Buffer.buffer("data: " + body.encode() + "\n\n"));
  }

  private JsonObject chunk(String id, JsonObject choice) {
    return new JsonObject()
        .put("id", id)
        .put("object", "chat.completion.chunk")
        .put("model", chat.model())
        .put("choices", new JsonArray().add(choice));
  }

  private JsonObject plainBody(EngineResponse response) {
    JsonObject choice =
        new JsonObject()
            .put("index", 0)
            .put("message", response.message())
            .put("finish_reason", response.finishReason());
    return new JsonObject()
        .put("id", response.id())
        .put("object", "chat.completion")
        .put("model", chat.model())
        .put("choices", new JsonArray().add(choice))
        .put("usage", usage(response));
  }

  private static JsonObject usage(EngineResponse response) {
    return new JsonObject()
        .put("prompt_tokens", response.promptTokens())
        .put("completion_tokens", response.completionTokens())
        .put("total_tokens", response.promptTokens() + response.completionTokens())
        .put(
            "prompt_tokens_details",
            new JsonObject().put("cached_tokens", response.cachedTokens()));
  }
}
