package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.ProgramRecord;
import java.util.Objects;

/**
 * A caller's request for an action of a plain service.
 *
 * @param program the program on whose behalf the action is requested
 * @param key the caller's idempotency key, unique within the program
 * @param attempt the number of the caller's attempt, starting at 0
 * @param service the service that executes the action
 * @param content the operation and its arguments
 * @param isIdempotent whether repeated execution has no further effect
 * @param isNewKey whether the key cannot have been used by an earlier request, for example because
 *     the system generated it
 * @param deadlineAtMs the monotonic time by which the caller must receive a reply
 */
public record ActionRequest(
    ProgramId program,
    String key,
    int attempt,
    String service,
    Bytes content,
    boolean isIdempotent,
    boolean isNewKey,
    long deadlineAtMs) {

  /** The maximum length of an idempotency key in characters. */
  public static final int MAX_KEY_CHARS = 256;

  /**
   * Validates that all components are set, the key length is in range and the attempt is not
   * negative.
   */
  public ActionRequest {
    Objects.requireNonNull(program, "program");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(content, "content");
    if (key.isEmpty() || key.length() > MAX_KEY_CHARS) {
      throw new IllegalArgumentException(
          "key must have 1 to " + MAX_KEY_CHARS + " characters, had " + key.length());
    }
    if (attempt < 0) {
      throw new IllegalArgumentException("attempt must not be negative, was " + attempt);
    }
  }

  /** Returns the intent record that reserves the idempotency key. */
  ProgramRecord.ActionIntent toIntentRecord(RecordId id, long epoch) {
    return new ProgramRecord.ActionIntent(id, epoch, program, key, attempt, service, content);
  }

  /** Returns the outcome record for the given intent record of this request. */
  ProgramRecord.ActionOutcome toOutcomeRecord(RecordId id, RecordId intent, ActionReply reply) {
    return new ProgramRecord.ActionOutcome(
        id, program, key, intent, reply.outcome(), reply.result());
  }
}
