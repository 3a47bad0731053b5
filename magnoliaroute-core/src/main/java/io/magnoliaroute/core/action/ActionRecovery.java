package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.RecordIdGenerator;
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

  private final OpenIntent openIntent;
  private final ServiceCapabilities capabilities;
  private final ActionTiming timing;
  private final PartitionReader reader;
  private final PartitionLease lease;
  private final RecordIdGenerator ids;
  private final long epoch;
  private final EffectBuffer effects = new EffectBuffer();

  private Phase phase = Phase.WAITING;
  private long recoverAtMs;

  /**
   * Creates a recovery that is valid for the current claim epoch of the owner's lease.
   *
   * @throws IllegalArgumentException if the intent was written by the owner itself
   */
  public ActionRecovery(
      OpenIntent openIntent,
      ServiceCapabilities capabilities,
      ActionTiming timing,
      PartitionOwner owner) {
    this.openIntent = Objects.requireNonNull(openIntent, "openIntent");
    this.capabilities = Objects.requireNonNull(capabilities, "capabilities");
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
    effects.scheduleTick(recoverAtMs);
    return effects.drain();
  }

  /**
   * Checks the state and starts or repeats steps that are due; calling it early has no adverse
   * effect.
   */
  public List<ActionEffect> tick(long nowMs) {
    if (!checkStillOpen() || nowMs < recoverAtMs) {
      return effects.drain();
    }
    effects.retryRefusedAppend();
    if (phase == Phase.WAITING || phase == Phase.QUERYING) {
      queryStatus(nowMs);
    }
    return effects.drain();
  }

  /** Processes the response to a status query that carried the given fencing token. */
  public List<ActionEffect> onStatusResponse(
      StatusResponse response, long fencingToken, long nowMs) {
    if (!checkStillOpen() || phase != Phase.QUERYING) {
      return effects.drain();
    }
    Optional<ActionReply> reply =
        StatusResponseEvaluator.evaluate(response, capabilities, fencingToken, openIntent.offset());
    if (reply.isPresent()) {
      recordOutcome(reply.get());
    } else if (nowMs >= recoverAtMs + timing.recoveryTimeoutMs()) {
      recordOutcome(ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST));
    } else {
      effects.scheduleTick(nowMs + timing.retryDelayMs());
    }
    return effects.drain();
  }

  /** Handles an outcome record that the committer refused and therefore did not append. */
  public List<ActionEffect> onAppendRefused(RecordId id, long nowMs) {
    effects.onAppendRefused(id, nowMs + timing.retryDelayMs());
    return effects.drain();
  }

  /** Returns whether the recovery has finished and needs no further events. */
  public boolean isClosed() {
    return phase == Phase.CLOSED;
  }

  /**
   * Closes the recovery if the intent has an outcome or was removed, or if the owner no longer
   * holds the partition under the claim epoch of this recovery. Returns whether processing can
   * continue, which is not the case while the partition's state is incomplete.
   */
  private boolean checkStillOpen() {
    if (!reader.isComplete()) {
      return false;
    }
    ProgramRecord.ActionIntent intent = openIntent.intent();
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

  private void queryStatus(long nowMs) {
    OptionalLong token = lease.claimOffset();
    if (!capabilities.supportsStatusQuery() || token.isEmpty()) {
      recordOutcome(ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST));
      return;
    }
    if (phase == Phase.QUERYING && nowMs >= recoverAtMs + timing.recoveryTimeoutMs()) {
      recordOutcome(ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST));
      return;
    }
    phase = Phase.QUERYING;
    ProgramRecord.ActionIntent intent = openIntent.intent();
    effects.add(new ActionEffect.QueryStatus(intent.service(), intent.key(), token.getAsLong()));
    effects.scheduleTick(recoverAtMs + timing.recoveryTimeoutMs());
  }

  private void recordOutcome(ActionReply reply) {
    phase = Phase.RECORDING;
    ProgramRecord.ActionIntent intent = openIntent.intent();
    effects.append(
        new ProgramRecord.ActionOutcome(
            ids.next(),
            intent.program(),
            intent.key(),
            intent.id(),
            reply.outcome(),
            reply.result()));
  }
}
