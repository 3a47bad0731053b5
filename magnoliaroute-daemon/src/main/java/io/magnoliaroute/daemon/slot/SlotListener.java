package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.schedule.SlotGrant;

/** Receives the results of one slot request. The methods may be called on any thread. */
public interface SlotListener {

  /** Called when a slot is granted, and again for the new grant that follows a preemption. */
  void onGranted(SlotGrant grant);

  /** Called when the request is refused; the call has not run under this request. */
  void onRefused(String reason, long retryAfterMs);

  /**
   * Called when the grant is preempted. The receiver must cancel the response stream and release
   * the grant as preempted.
   */
  void onPreempted(long grantId);
}
