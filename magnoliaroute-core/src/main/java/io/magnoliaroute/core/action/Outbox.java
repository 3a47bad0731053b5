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
final class Outbox {

  private final List<ActionEffect> effects = new ArrayList<>();
  private ProgramRecord lastAppended;
  private boolean appendRefused;
  private boolean preparing;
  private boolean replied;

  void add(ActionEffect effect) {
    effects.add(effect);
  }

  void wakeAt(long atMs) {
    effects.add(new ActionEffect.WakeAt(atMs));
  }

  void append(ProgramRecord record) {
    lastAppended = record;
    appendRefused = false;
    effects.add(new ActionEffect.Append(record));
  }

  /** Marks the last record as refused, so that {@link #appendRefusedAgain} appends it again. */
  void refused(RecordId id, long retryAtMs) {
    if (lastAppended != null && lastAppended.id().equals(id)) {
      appendRefused = true;
      wakeAt(retryAtMs);
    }
  }

  void appendRefusedAgain() {
    if (appendRefused) {
      append(lastAppended);
    }
  }

  /** Requests a connection, unless a request is pending; {@link #prepared} ends the pending one. */
  void prepareSend() {
    if (!preparing) {
      preparing = true;
      effects.add(new ActionEffect.PrepareSend());
    }
  }

  void prepared() {
    preparing = false;
  }

  /** Adds the reply, unless one was added before. */
  void reply(ActionReply reply) {
    if (!replied) {
      replied = true;
      effects.add(new ActionEffect.Reply(reply));
    }
  }

  boolean replied() {
    return replied;
  }

  List<ActionEffect> take() {
    List<ActionEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
