package io.magnoliaroute.core.gateway;

import java.util.List;
import java.util.Optional;

/**
 * Metadata that a client sends with a request, besides method, path and body.
 *
 * @param requestId the client's id of this attempt
 * @param deadlineMs how long the client waits, measured from arrival; empty if not specified
 * @param programId the agent program that the request belongs to
 * @param sessionId the session, a sequence of turns, that the request belongs to
 * @param targetCompletionMs target time for completion of the program, measured from arrival
 * @param tokenBudget maximum number of tokens that all turns of the program may generate together
 * @param promptTokens length of the prompt in tokens; 0 if the request is not a model call
 * @param maxOutputTokens maximum number of tokens that this turn generates
 * @param prefix the leading segments of the prompt, in order
 * @param lastEventId id of the event after which the client resumes a stream
 * @param resumedRequestId the id of the attempt that delivered the first event of a resumed stream
 * @param previousTurnId the request id of the turn that this turn continues, on routes whose turns
 *     the system keeps; empty at the start of a chain
 * @param expectedOutputTokens the client's estimate of the generated tokens; accurate at the median
 *     but often far off
 * @param affinityKey the object that the request concerns; requests for the same object have the
 *     same key
 */
public record RequestMetadata(
    String requestId,
    Optional<Long> deadlineMs,
    Optional<String> programId,
    Optional<String> sessionId,
    Optional<Long> targetCompletionMs,
    Optional<Long> tokenBudget,
    long promptTokens,
    long maxOutputTokens,
    List<PromptSegment> prefix,
    Optional<String> lastEventId,
    Optional<String> resumedRequestId,
    Optional<String> previousTurnId,
    Optional<Long> expectedOutputTokens,
    Optional<String> affinityKey) {

  /** Makes a defensive copy of the prefix. */
  public RequestMetadata {
    prefix = List.copyOf(prefix);
  }

  /**
   * A segment of a prompt, which several requests can share.
   *
   * @param id the id of the segment
   * @param tokens length in tokens
   */
  public record PromptSegment(String id, long tokens) {}
}
