package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.RecordSequence;
import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.program.ActionView;
import io.magnoliaroute.core.program.OpenIntent;
import io.magnoliaroute.core.program.PartitionLease;
import io.magnoliaroute.core.program.PartitionOwner;
import io.magnoliaroute.core.program.PartitionReader;
import io.magnoliaroute.core.program.ProgramRecord;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Settles an open intent of an earlier owner, without ever sending the action.
 *
 * <p>A new owner makes one for each open intent of another writer when it reads its claim back as
 * in force. The recovery waits until an earlier owner can no longer hold a valid lease, asks the
 * service where that is possible, and records DONE, NOT_RUN or UNKNOWN. Not safe for use by several
 * threads.
 */
public final class ActionRecovery {

  private enum Phase {
    WAITING,
    QUERYING,
    RECORDING,
    CLOSED
  }

  private final OpenIntent open;
  private final ServiceTraits traits;
  private final ActionTiming timing;
  private final PartitionReader reader;
  private final PartitionLease lease;
  private final RecordSequence ids;
  private final long epoch;
  private final Outbox out = new Outbox();

  private Phase phase = Phase.WAITING;
  private long recoverAtMs;

  /** Makes a recovery under the claim that the owner's lease holds. */
  public ActionRecovery(
      OpenIntent open, ServiceTraits traits, ActionTiming timing, PartitionOwner owner) {
    this.open = Objects.requireNonNull(open, "open");
    this.traits = Objects.requireNonNull(traits, "traits");
    this.timing = Objects.requireNonNull(timing, "timing");
    this.reader = owner.reader();
    this.lease = owner.lease();
    this.ids = owner.ids();
    this.epoch = lease.epoch();
    if (open.intent().id().writer().equals(ids.writer())) {
      throw new IllegalArgumentException("intent " + open.intent().id() + " is of this writer");
    }
  }

  /** Starts the wait; the claim has been read back as in force. */
  public List<ActionEffect> start(long nowMs) {
    recoverAtMs = nowMs + timing.recoveryGraceMs();
    out.wakeAt(recoverAtMs);
    return out.take();
  }

  /** Looks at the clock and the state; an early call does no harm. */
  public List<ActionEffect> tick(long nowMs) {
    if (!checkState() || nowMs < recoverAtMs) {
      return out.take();
    }
    out.appendRefusedAgain();
    if (phase == Phase.WAITING || phase == Phase.QUERYING) {
      ask(nowMs);
    }
    return out.take();
  }

  /** Takes the answer to a status query that carried the given token. */
  public List<ActionEffect> onStatus(StatusAnswer answer, long fencingToken, long nowMs) {
    if (!checkState() || phase != Phase.QUERYING) {
      return out.take();
    }
    Optional<ActionReply> known = StatusRule.outcome(answer, traits, fencingToken, open.offset());
    if (known.isPresent()) {
      record(known.get());
    } else if (nowMs >= recoverAtMs + timing.recoveryLimitMs()) {
      record(ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST));
    } else {
      out.wakeAt(nowMs + timing.retryMs());
    }
    return out.take();
  }

  /** Takes the committer's refusal of the outcome record, which is then not appended. */
  public List<ActionEffect> appendRefused(RecordId id, long nowMs) {
    out.refused(id, nowMs + timing.retryMs());
    return out.take();
  }

  /** Returns whether the recovery needs no further events. */
  public boolean closed() {
    return phase == Phase.CLOSED;
  }

  /** Closes the recovery when the intent is settled or another owner has the partition. */
  private boolean checkState() {
    if (!reader.complete()) {
      return false;
    }
    ProgramRecord.ActionIntent intent = open.intent();
    Optional<ActionView> action = reader.state().action(intent.program(), intent.key());
    boolean stillOpen =
        action.isPresent()
            && action.get().intent().equals(intent.id())
            && action.get().outcome().isEmpty();
    boolean ownsClaim = lease.epoch() == epoch && lease.status() == PartitionLease.Status.HELD;
    if (!stillOpen || !ownsClaim) {
      phase = Phase.CLOSED;
    }
    return phase != Phase.CLOSED;
  }

  private void ask(long nowMs) {
    OptionalLong token = lease.claimOffset();
    if (!traits.statusQuery() || token.isEmpty()) {
      record(ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST));
      return;
    }
    if (phase == Phase.QUERYING && nowMs >= recoverAtMs + timing.recoveryLimitMs()) {
      record(ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST));
      return;
    }
    phase = Phase.QUERYING;
    ProgramRecord.ActionIntent intent = open.intent();
    out.add(new ActionEffect.QueryStatus(intent.service(), intent.key(), token.getAsLong()));
    out.wakeAt(recoverAtMs + timing.recoveryLimitMs());
  }

  private void record(ActionReply reply) {
    phase = Phase.RECORDING;
    ProgramRecord.ActionIntent intent = open.intent();
    out.append(
        new ProgramRecord.ActionOutcome(
            ids.next(),
            intent.program(),
            intent.key(),
            intent.id(),
            reply.outcome(),
            reply.result()));
  }
}
