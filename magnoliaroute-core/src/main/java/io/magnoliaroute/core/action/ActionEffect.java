package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.program.ProgramRecord;
import java.util.OptionalLong;

/** What the driver of an {@link ActionFlow} or an {@link ActionRecovery} must do. */
public sealed interface ActionEffect {

  /** Add the record to the partition's committer; report a refusal by {@code appendRefused}. */
  record Append(ProgramRecord record) implements ActionEffect {}

  /** Abandon the record at the committer and report the result by {@code appendCancelled}. */
  record CancelAppend(RecordId id) implements ActionEffect {}

  /** Prepare a connection to the service and call {@code beginSend} when it is ready. */
  record PrepareSend() implements ActionEffect {}

  /**
   * Send the request now, once, without a retry.
   *
   * @param fencingToken the token, empty for idempotent requests
   */
  record Send(ActionRequest request, OptionalLong fencingToken) implements ActionEffect {}

  /**
   * Ask the service whether the key has run.
   *
   * @param fencingToken the token; a service that checks tokens refuses lower ones from then on
   */
  record QueryStatus(String service, String key, long fencingToken) implements ActionEffect {}

  /** Answer the caller; at most once for each flow. */
  record Reply(ActionReply reply) implements ActionEffect {}

  /** Call {@code tick} at the given monotonic time. */
  record WakeAt(long atMs) implements ActionEffect {}
}
