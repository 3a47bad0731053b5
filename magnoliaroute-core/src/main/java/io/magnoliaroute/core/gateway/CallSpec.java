package io.magnoliaroute.core.gateway;

import java.util.List;
import java.util.Optional;

/**
 * What a client says of a request besides its method, path and body.
 *
 * @param requestId identifies the client's attempt
 * @param deadlineMs how long the client waits, counted from the arrival; absent where it is silent
 * @param programId the program that the request belongs to
 * @param sessionId the line of turns that the request belongs to
 * @param finishMs time in which the program should end, counted from the arrival
 * @param tokenBudget tokens that all turns of the program may generate
 * @param promptTokens tokens of the prompt; 0 where the request is no model call
 * @param maxOutputTokens the most tokens that this turn generates
 * @param prefix the parts of the prompt, in order
 * @param lastEventId the event after which the client wants to go on
 */
public record CallSpec(
    String requestId,
    Optional<Long> deadlineMs,
    Optional<String> programId,
    Optional<String> sessionId,
    Optional<Long> finishMs,
    Optional<Long> tokenBudget,
    long promptTokens,
    long maxOutputTokens,
    List<PromptPart> prefix,
    Optional<String> lastEventId) {

  /** Copies the parts. */
  public CallSpec {
    prefix = List.copyOf(prefix);
  }

  /**
   * A part of a prompt; requests share parts.
   *
   * @param id identifies the part
   * @param tokens its length
   */
  public record PromptPart(String id, long tokens) {}
}
