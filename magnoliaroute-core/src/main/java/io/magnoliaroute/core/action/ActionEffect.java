package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.program.ProgramRecord;
import java.util.OptionalLong;

/**
 * An effect that the driver of an {@link ActionFlow}, {@link ActionRecovery} or {@link
 * IdempotentFlow} carries out.
 */
public sealed interface ActionEffect {

  /**
   * Adds the record to the partition's committer; a refusal is reported by {@code onAppendRefused}.
   */
  record Append(ProgramRecord record) implements ActionEffect {}

  /** Abandons the record at the committer; the result is reported by {@code onAppendCancelled}. */
  record CancelAppend(RecordId id) implements ActionEffect {}

  /** Prepares a connection to the service; {@code beginSend} is called when it is ready. */
  record PrepareSend() implements ActionEffect {}

  /**
   * Sends the request immediately and at most once, without retries.
   *
   * @param request the request to send
   * @param fencingToken the fencing token, empty for idempotent requests
   */
  record Send(ActionRequest request, OptionalLong fencingToken) implements ActionEffect {}

  /**
   * Queries the service for whether it has executed the request with the given idempotency key.
   *
   * @param service the service to query
   * @param key the idempotency key
   * @param fencingToken the fencing token; a service that checks tokens rejects lower ones after
   *     this query
   */
  record QueryStatus(String service, String key, long fencingToken) implements ActionEffect {}

  /** Sends the reply to the caller; emitted at most once per flow. */
  record Reply(ActionReply reply) implements ActionEffect {}

  /** Schedules a call of {@code tick} at the given monotonic time. */
  record ScheduleTick(long atMs) implements ActionEffect {}
}
