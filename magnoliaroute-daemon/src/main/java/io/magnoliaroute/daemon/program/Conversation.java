package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.program.Turn;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/**
 * Converts between conversations and the stored form of their turns.
 *
 * <p>A turn stores only the messages that its request added: {@code {"messages": [...]}} extends
 * the whole preceding conversation, and {@code {"keep": n, "messages": [...]}} extends its first n
 * messages, for callers that shorten their context. The turn's answer is the assistant's message.
 */
public final class Conversation {

  private static final String KEEP = "keep";
  private static final String MESSAGES = "messages";

  private Conversation() {}

  /** Returns the messages of the conversation that the turns form, in order. */
  public static JsonArray fromTurns(List<Turn> turns) {
    JsonArray conversation = new JsonArray();
    for (Turn turn : turns) {
      JsonObject request = decode(turn.request());
      int keep = Math.min(request.getInteger(KEEP, conversation.size()), conversation.size());
      JsonArray next = prefix(conversation, keep);
      request.getJsonArray(MESSAGES).forEach(next::add);
      next.add(decode(turn.answer()));
      conversation = next;
    }
    return conversation;
  }

  /**
   * Returns the stored form of a request that contains the whole conversation.
   *
   * @param before the conversation before the request
   * @param all the complete list of messages in the request
   */
  static Bytes encodeConversation(JsonArray before, JsonArray all) {
    int commonLength = 0;
    while (commonLength < before.size()
        && commonLength < all.size()
        && before.getValue(commonLength).equals(all.getValue(commonLength))) {
      commonLength++;
    }
    JsonArray newMessages = new JsonArray();
    for (int i = commonLength; i < all.size(); i++) {
      newMessages.add(all.getValue(i));
    }
    return encodeRequest(commonLength, before.size(), newMessages);
  }

  /** Returns the stored form of a request that contains only messages to append. */
  static Bytes encodeNewMessages(JsonArray newMessages) {
    return encodeRequest(0, 0, newMessages);
  }

  /** Returns the conversation that results from applying a stored request to the previous one. */
  static JsonArray applyRequest(JsonArray before, Bytes stored) {
    JsonObject request = decode(stored);
    int keep = Math.min(request.getInteger(KEEP, before.size()), before.size());
    JsonArray messages = prefix(before, keep);
    request.getJsonArray(MESSAGES).forEach(messages::add);
    return messages;
  }

  /** Returns whether the stored request extends the whole preceding conversation. */
  static boolean keepsAllMessages(Bytes stored) {
    return !decode(stored).containsKey(KEEP);
  }

  /** Decodes stored JSON. */
  static JsonObject decode(Bytes stored) {
    return Buffer.buffer(stored.toArray()).toJsonObject();
  }

  /** Encodes JSON for storage. */
  static Bytes encode(JsonObject json) {
    return Bytes.copyOf(json.toBuffer().getBytes());
  }

  private static Bytes encodeRequest(int keep, int beforeSize, JsonArray newMessages) {
    JsonObject json = new JsonObject();
    if (keep < beforeSize) {
      json.put(KEEP, keep);
    }
    return encode(json.put(MESSAGES, newMessages));
  }

  private static JsonArray prefix(JsonArray conversation, int size) {
    JsonArray prefix = new JsonArray();
    for (int i = 0; i < size; i++) {
      prefix.add(conversation.getValue(i));
    }
    return prefix;
  }
}
