package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.WaitingCall;

/** Requests and releases slots at endpoints. */
public interface Slots {

  /** Requests a slot in the group; the listener receives the result. */
  void request(String group, WaitingCall call, SlotListener listener);

  /** Reports an observation of a running call to the scheduler. */
  void observe(String group, CallId id, CallObservation observation);

  /** Releases a granted slot and reports the result of the call. */
  void release(String group, CallId id, CallResult result);

  /** Cancels a request that has not been granted. */
  void cancel(String group, CallId id);
}
