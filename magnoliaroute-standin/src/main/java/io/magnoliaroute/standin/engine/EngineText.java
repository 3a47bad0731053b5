package io.magnoliaroute.standin.engine;

import io.magnoliaroute.core.model.Hashing;
import java.util.ArrayList;
import java.util.List;

/** Generates deterministic response texts in which each word is one token. */
final class EngineText {

  private static final String[] WORDS = {
    "alder", "birch", "cedar", "dune", "ember", "fjord", "grove", "harbour",
    "inlet", "juniper", "kelp", "ledge", "moor", "north", "orchard", "pine"
  };

  private EngineText() {}

  static List<String> tokens(List<String> messages, int count) {
    long state = Hashing.fnv1a64(String.join("\n", messages));
    List<String> tokens = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      state = Hashing.mix(state + i);
      String word = WORDS[(int) Math.floorMod(state, (long) WORDS.length)];
      tokens.add(i == 0 ? word : " " + word);
    }
    return tokens;
  }

  static int countTokens(String text) {
    int count = 0;
    boolean inWord = false;
    for (int i = 0; i < text.length(); i++) {
      boolean space = Character.isWhitespace(text.charAt(i));
      if (!space && !inWord) {
        count++;
      }
      inWord = !space;
    }
    return count;
  }

  static int countTokens(List<String> messages) {
    int count = 0;
    for (String message : messages) {
      count += countTokens(message);
    }
    return count;
  }
}
