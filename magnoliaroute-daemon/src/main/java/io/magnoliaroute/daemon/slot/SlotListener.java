package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.schedule.SlotGrant;

/** Takes the answers to one slot request. The methods may run on any thread. */
public interface SlotListener {

  /** Takes a grant; after a preemption a further one comes. */
  void granted(SlotGrant grant);

  /** Takes a refusal; the call has not run under this request. */
  void refused(String reason, long retryAfterMs);

  /** Takes the order to cancel the stream under the grant and to release it as preempted. */
  void preempted(long grantId);
}
