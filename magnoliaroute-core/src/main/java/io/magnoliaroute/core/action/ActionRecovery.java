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
 * Determines and records the outcome of an open intent of an earlier partition owner, without
 * sending the action.
 *
 * <p>A new owner creates one instance for each open intent of another writer once it has read back
 * its own claim as accepted. The recovery waits until no earlier owner can hold a valid lease,
 * queries the service if it supports status queries, and records DONE, NOT_RUN or UNKNOWN. This
 * class is not thread-safe.
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

  /**
   * Creates a recovery that is valid for the current claim epoch of the owner's lease.
   *
   * @throws IllegalArgumentException if the intent was written by the owner itself
   */
  public ActionRecovery(
      OpenIntent openIntent,
      ServiceTraits capabilities,
      ActionTiming timing,
      PartitionOwner owner) {
    this.open = Objects.requireNonNull(openIntent, "openIntent");
    this.traits = Objects.requireNonNull(capabilities, "capabilities");
    this.timing = Objects.requireNonNull(timing, "timing");
    this.reader = owner.reader();
    this.lease = owner.lease();
    this.ids = owner.ids();
    this.epoch = lease.epoch();
    if (openIntent.intent().id().writer().equals(ids.writer())) {
      throw new IllegalArgumentException(
          "intent " + openIntent.intent().id() + " was written by the current owner");
    }
  }

  /** Starts the grace period; called when the claim has been read back as accepted. */
  public List<ActionEffect> start(long nowMs) {
    recoverAtMs = nowMs + timing.recoveryGraceMs();
    out.wakeAt(recoverAtMs);
    return out.take();
  }

  /**
   * Checks the state and starts or repeats steps that are due; calling it early has no adverse
   * effect.
   */
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

  /** Processes the response to a status query that carried the given fencing token. */
  public List<ActionEffect> onStatus(StatusAnswer response, long fencingToken, long nowMs) {
    if (!checkState() || phase != Phase.QUERYING) {
      return out.take();
    }
    Optional<ActionReply> reply = StatusRule.outcome(response, traits, fencingToken, open.offset());
    if (reply.isPresent()) {
      record(reply.get());
    } else if (nowMs >= recoverAtMs + timing.recoveryLimitMs()) {
      record(ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST));
    } else {
      out.wakeAt(nowMs + timing.retryMs());
    }
    return out.take();
  }

  /** Handles an outcome record that the committer refused and therefore did not append. */
  public List<ActionEffect> appendRefused(RecordId id, long nowMs) {
    out.refused(id, nowMs + timing.retryMs());
    return out.take();
  }

  /** Returns whether the recovery has finished and needs no further events. */
  public boolean closed() {
    return phase == Phase.CLOSED;
  }

  /**
   * Closes the recovery if the intent has an outcome or was removed, or if the owner no longer
   * holds the partition under the claim epoch of this recovery. Returns whether processing can
   * continue.
   */
  private boolean checkState() {
    if (!reader.isComplete()) {
      return false;
    }
    ProgramRecord.ActionIntent intent = open.intent();
    Optional<ActionView> action = reader.state().action(intent.program(), intent.key());
    boolean stillOpen =
        action.isPresent()
            && action.get().intent().equals(intent.id())
            && action.get().outcome().isEmpty();
    boolean holdsClaim = lease.epoch() == epoch && lease.status() == PartitionLease.Status.HELD;
    if (!stillOpen || !holdsClaim) {
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
