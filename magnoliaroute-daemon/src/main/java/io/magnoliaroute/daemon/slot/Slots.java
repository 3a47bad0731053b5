package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.WaitingCall;

/** Asks for slots at endpoints and gives them back. */
public interface Slots {

  /** Asks for a slot in the group. */
  void request(String group, WaitingCall call, SlotListener listener);

  /** Reports what was seen of a running call. */
  void observe(String group, CallId id, CallObservation seen);

  /** Gives a slot back. */
  void release(String group, CallId id, CallResult result);

  /** Takes back a request that was not granted. */
  void cancel(String group, CallId id);
}
