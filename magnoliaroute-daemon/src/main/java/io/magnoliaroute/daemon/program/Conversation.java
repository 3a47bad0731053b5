package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.program.Turn;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/**
 * Makes conversations from stored turns and back.
 *
 * <p>A turn stores only what its request added: {@code {"messages": [...]}} continues the whole
 * conversation before it, and {@code {"keep": n, "messages": [...]}} continues its first n
 * messages, for callers that shorten their context. The answer is the assistant's message.
 */
public final class Conversation {

  private static final String KEEP = "keep";
  private static final String MESSAGES = "messages";

  private Conversation() {}

  /** Returns all messages of the turns, in order. */
  public static JsonArray of(List<Turn> turns) {
    JsonArray conversation = new JsonArray();
    for (Turn turn : turns) {
      JsonObject added = json(turn.request());
      int keep = Math.min(added.getInteger(KEEP, conversation.size()), conversation.size());
      JsonArray next = prefix(conversation, keep);
      added.getJsonArray(MESSAGES).forEach(next::add);
      next.add(json(turn.answer()));
      conversation = next;
    }
    return conversation;
  }

  /** Returns the stored form of a request whose messages are the whole conversation. */
  static Bytes added(JsonArray before, JsonArray whole) {
    int same = 0;
    while (same < before.size()
        && same < whole.size()
        && before.getValue(same).equals(whole.getValue(same))) {
      same++;
    }
    JsonArray fresh = new JsonArray();
    for (int i = same; i < whole.size(); i++) {
      fresh.add(whole.getValue(i));
    }
    return stored(same, before.size(), fresh);
  }

  /** Returns the stored form of a request whose messages continue the conversation. */
  static Bytes continued(JsonArray fresh) {
    return stored(0, 0, fresh);
  }

  /** Returns the conversation that the stored request asks to answer. */
  static JsonArray asked(JsonArray before, Bytes stored) {
    JsonObject added = json(stored);
    int keep = Math.min(added.getInteger(KEEP, before.size()), before.size());
    JsonArray asked = prefix(before, keep);
    added.getJsonArray(MESSAGES).forEach(asked::add);
    return asked;
  }

  /** Returns whether the stored request continues all messages before it. */
  static boolean keepsAll(Bytes stored) {
    return !json(stored).containsKey(KEEP);
  }

  static JsonObject json(Bytes stored) {
    return Buffer.buffer(stored.toArray()).toJsonObject();
  }

  static Bytes bytes(JsonObject json) {
    return Bytes.copyOf(json.toBuffer().getBytes());
  }

  private static Bytes stored(int keep, int beforeSize, JsonArray fresh) {
    JsonObject json = new JsonObject();
    if (keep < beforeSize) {
      json.put(KEEP, keep);
    }
    return bytes(json.put(MESSAGES, fresh));
  }

  private static JsonArray prefix(JsonArray conversation, int size) {
    JsonArray prefix = new JsonArray();
    for (int i = 0; i < size; i++) {
      prefix.add(conversation.getValue(i));
    }
    return prefix;
  }
}
