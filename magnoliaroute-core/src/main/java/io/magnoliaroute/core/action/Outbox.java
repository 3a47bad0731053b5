package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.program.ProgramRecord;
import java.util.ArrayList;
import java.util.List;

/** The effects of a flow that its driver has not taken yet. */
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

  /** Notes that the record was not taken; it is appended again by {@link #appendRefusedAgain}. */
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

  /** Asks for a connection, once until {@link #prepared}. */
  void prepareSend() {
    if (!preparing) {
      preparing = true;
      effects.add(new ActionEffect.PrepareSend());
    }
  }

  void prepared() {
    preparing = false;
  }

  /** Replies, unless a reply was given before. */
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
    List<ActionEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }
}
