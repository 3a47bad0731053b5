package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.ProgramRecord;
import java.util.Objects;

/**
 * What a caller asks a plain service to do.
 *
 * @param program the program that asks
 * @param key the caller's idempotency key, unique within the program
 * @param attempt the number of the caller's attempt, from 0
 * @param service the service
 * @param content the operation and its arguments
 * @param idempotent whether running it again has no further effect
 * @param freshKey whether no earlier request can have carried the key, as when the system chose it
 * @param deadlineAtMs the monotonic time by which the caller gets a reply
 */
public record ActionRequest(
    ProgramId program,
    String key,
    int attempt,
    String service,
    Bytes content,
    boolean idempotent,
    boolean freshKey,
    long deadlineAtMs) {

  /** The longest key. */
  public static final int MAX_KEY_CHARS = 256;

  /** Rejects missing parts and keys that are empty or too long. */
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

  /** Returns the record that reserves the key. */
  ProgramRecord.ActionIntent intent(RecordId id, long epoch) {
    return new ProgramRecord.ActionIntent(id, epoch, program, key, attempt, service, content);
  }

  /** Returns the record of what became of the request under its intent. */
  ProgramRecord.ActionOutcome outcome(RecordId id, RecordId intent, ActionReply known) {
    return new ProgramRecord.ActionOutcome(
        id, program, key, intent, known.outcome(), known.result());
  }
}
