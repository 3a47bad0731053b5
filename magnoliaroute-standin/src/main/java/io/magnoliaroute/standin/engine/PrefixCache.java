package io.magnoliaroute.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The prefix cache of one engine: the last prompt of each cache key, with its events. */
final class PrefixCache {

  private final Map<String, List<String>> prompts = new LinkedHashMap<>();
  private final List<CacheEvent> events = new ArrayList<>();

  /** One published change. */
  record CacheEvent(long sequence, String kind, String key, int tokens) {}

  /** Stores the prompt and returns the tokens of it that were held already. */
  synchronized int reuse(String key, List<String> messages) {
    List<String> held = prompts.getOrDefault(key, List.of());
    int cached = 0;
    for (int i = 0; i < held.size() && i < messages.size(); i++) {
      if (!held.get(i).equals(messages.get(i))) {
        break;
      }
      cached += EngineText.countTokens(held.get(i));
    }
    prompts.put(key, List.copyOf(messages));
    return cached;
  }

  synchronized boolean release(String key) {
    return prompts.remove(key) != null;
  }

  synchronized void publish(String kind, String key, int tokens) {
    events.add(new CacheEvent(events.size(), kind, key, tokens));
  }

  synchronized List<CacheEvent> eventsFrom(long sequence) {
    int from = (int) Math.max(0, Math.min(sequence, events.size()));
    return List.copyOf(events.subList(from, events.size()));
  }

  synchronized Map<String, Integer> listing() {
    Map<String, Integer> tokens = new LinkedHashMap<>();
    prompts.forEach((key, messages) -> tokens.put(key, EngineText.countTokens(messages)));
    return tokens;
  }
}
