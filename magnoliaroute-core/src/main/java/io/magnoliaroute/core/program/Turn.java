package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.Bytes;
import java.util.Objects;

/**
 * One completed turn of a program.
 *
 * @param number the position in the history, from 0
 * @param attempt the attempt that completed it, from 0
 * @param request what the caller added in this turn
 * @param answer the model's answer
 * @param promptTokens tokens read
 * @param answerTokens tokens generated
 */
public record Turn(
    int number, int attempt, Bytes request, Bytes answer, int promptTokens, int answerTokens) {

  /** Rejects missing contents and negative numbers. */
  public Turn {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(answer, "answer");
    requireNotNegative("number", number);
    requireNotNegative("attempt", attempt);
    requireNotNegative("promptTokens", promptTokens);
    requireNotNegative("answerTokens", answerTokens);
  }

  /** Returns the tokens that the turn consumed. */
  public long tokens() {
    return (long) promptTokens + answerTokens;
  }

  /** Returns the size of the request and the answer. */
  public int sizeBytes() {
    return request.sizeBytes() + answer.sizeBytes();
  }

  private static void requireNotNegative(String what, int value) {
    if (value < 0) {
      throw new IllegalArgumentException(what + " must not be negative, was " + value);
    }
  }
}
