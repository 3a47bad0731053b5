package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.program.ProgramRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the effects that a flow or recovery returns to its driver.
 *
 * <p>Suppresses duplicate {@link ActionEffect.PrepareSend} and {@link ActionEffect.Reply} effects
 * and retains the last record for another append after a refusal.
 */
final class EffectBuffer {

  private final List<ActionEffect> effects = new ArrayList<>();
  private ProgramRecord lastAppended;
  private boolean lastAppendRefused;
  private boolean preparePending;
  private boolean hasReply;

  void add(ActionEffect effect) {
    effects.add(effect);
  }

  void scheduleTick(long atMs) {
    effects.add(new ActionEffect.ScheduleTick(atMs));
  }

  void append(ProgramRecord record) {
    lastAppended = record;
    lastAppendRefused = false;
    effects.add(new ActionEffect.Append(record));
  }

  /** Marks the last record as refused, so that {@link #retryRefusedAppend} appends it again. */
  void onAppendRefused(RecordId id, long retryAtMs) {
    if (lastAppended != null && lastAppended.id().equals(id)) {
      lastAppendRefused = true;
      scheduleTick(retryAtMs);
    }
  }

  void retryRefusedAppend() {
    if (lastAppendRefused) {
      append(lastAppended);
    }
  }

  /**
   * Requests a connection, unless a request is pending; {@link #onPrepared} ends the pending one.
   */
  void prepareSend() {
    if (!preparePending) {
      preparePending = true;
      effects.add(new ActionEffect.PrepareSend());
    }
  }

  void onPrepared() {
    preparePending = false;
  }

  /** Adds the reply, unless one was added before. */
  void reply(ActionReply reply) {
    if (!hasReply) {
      hasReply = true;
      effects.add(new ActionEffect.Reply(reply));
    }
  }

  boolean hasReply() {
    return hasReply;
  }

  List<ActionEffect> drain() {
    List<ActionEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
