package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.Bytes;
import java.util.Objects;

/**
 * One completed turn of a program.
 *
 * @param number the position in the history, starting at 0
 * @param attempt the number of the attempt that completed the turn, starting at 0
 * @param request the content that the caller added in this turn
 * @param answer the model's response
 * @param promptTokens the number of prompt tokens
 * @param answerTokens the number of generated tokens
 */
public record Turn(
    int number, int attempt, Bytes request, Bytes answer, int promptTokens, int answerTokens) {

  /** Rejects null contents and negative numbers. */
  public Turn {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(answer, "answer");
    requireNotNegative("number", number);
    requireNotNegative("attempt", attempt);
    requireNotNegative("promptTokens", promptTokens);
    requireNotNegative("answerTokens", answerTokens);
  }

  /** Returns the number of tokens that the turn consumed. */
  public long tokens() {
    return (long) promptTokens + answerTokens;
  }

  /** Returns the total size of the request and the response. */
  public int sizeBytes() {
    return request.sizeBytes() + answer.sizeBytes();
  }

  private static void requireNotNegative(String name, int value) {
    if (value < 0) {
      throw new IllegalArgumentException(name + " must not be negative, was " + value);
    }
  }
}
