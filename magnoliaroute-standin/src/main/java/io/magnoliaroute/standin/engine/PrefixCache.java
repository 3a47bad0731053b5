package io.magnoliaroute.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The prefix cache of an engine: the latest prompt of each cache key, and a log of changes. */
final class PrefixCache {

  private final Map<String, List<String>> prompts = new LinkedHashMap<>();
  private final List<CacheEvent> events = new ArrayList<>();

  /** A published change of the cache. */
  record CacheEvent(long sequence, String kind, String key, int tokens) {}

  /** Stores the prompt and returns the number of its leading tokens that were already cached. */
  synchronized int store(String key, List<String> messages) {
    List<String> previous = prompts.getOrDefault(key, List.of());
    int cached = 0;
    for (int i = 0; i < previous.size() && i < messages.size(); i++) {
      if (!previous.get(i).equals(messages.get(i))) {
        break;
      }
      cached += EngineText.countTokens(previous.get(i));
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
