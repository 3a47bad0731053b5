package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.AbandonResult;
import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.RecordIdGenerator;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.program.ActionView;
import io.magnoliaroute.core.program.AppliedRecord;
import io.magnoliaroute.core.program.PartitionLease;
import io.magnoliaroute.core.program.PartitionOwner;
import io.magnoliaroute.core.program.PartitionReader;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.RecordRefusal;
import io.magnoliaroute.core.program.Verdict;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A state machine, free of I/O, that processes one request for a non-idempotent action.
 *
 * <p>The action is sent at most once: only by the flow whose intent record reserves the key, and
 * only while the partition owner's lease is valid. The driver carries out the effects in order,
 * passes every applied record of the partition to the flow, and retains the flow until {@link
 * #isClosed} returns true, even after the reply has been sent. This class is not thread-safe.
 */
public final class ActionFlow {

  private enum Phase {
    NEW,
    /** The intent record was submitted for appending and its verdict is pending. */
    WAITING_INTENT,
    /** The intent record was accepted, and the action may be sent. */
    READY,
    /** The request was sent and the response is pending. */
    SENT,
    /** The response was lost and a status query is in progress. */
    QUERYING,
    /** The intent is being abandoned; the verdict on the abandon record is pending. */
    ABANDONING,
    /** The outcome is known, but its record has not been read back from the log. */
    RECORDING,
    /** The key is reserved by the intent record of another request. */
    WAITING_OTHER,
    /**
     * The request was refused without being sent. The log must be read before the reply, because an
     * earlier request with the same key may have been executed.
     */
    VERIFYING,
    CLOSED
  }

  private final ActionRequest request;
  private final ServiceCapabilities capabilities;
  private final ActionTiming timing;
  private final PartitionReader reader;
  private final PartitionLease lease;
  private final RecordIdGenerator ids;
  private final EffectBuffer effects = new EffectBuffer();

  private Phase phase = Phase.NEW;
  private long arrivedAtMs;
  private RecordId intentId;
  private OptionalLong sentToken = OptionalLong.empty();
  private ActionReason abandonReason;
  private ActionReason pendingRefusal;
  private ActionReply pendingReply;

  /**
   * Creates a flow at the owner of the program's partition.
   *
   * @throws IllegalArgumentException if the request is idempotent
   */
  public ActionFlow(
      ActionRequest request,
      ServiceCapabilities capabilities,
      ActionTiming timing,
      PartitionOwner owner) {
    this.request = Objects.requireNonNull(request, "request");
    this.capabilities = Objects.requireNonNull(capabilities, "capabilities");
    this.timing = Objects.requireNonNull(timing, "timing");
    this.reader = owner.reader();
    this.lease = owner.lease();
    this.ids = owner.ids();
    if (request.isIdempotent()) {
      throw new IllegalArgumentException("request must not be idempotent, key " + request.key());
    }
  }

  /** Starts the flow by reserving the idempotency key in the log. */
  public List<ActionEffect> start(long nowMs) {
    if (phase != Phase.NEW) {
      throw new IllegalStateException("flow was already started, key " + request.key());
    }
    arrivedAtMs = nowMs;
    effects.scheduleTick(request.deadlineAtMs());
    reserveKey(nowMs);
    reevaluate(nowMs);
    return effects.drain();
  }

  /** Processes a record that was applied to the partition's state. */
  public List<ActionEffect> onApplied(AppliedRecord applied, long nowMs) {
    if (applied.record().id().equals(intentId)) {
      onIntentApplied(applied, nowMs);
    } else if (phase == Phase.ABANDONING
        && applied.record() instanceof ProgramRecord.ActionAbandoned abandoned
        && abandoned.intent().equals(intentId)
        && applied.verdict().isAccepted()) {
      refuse(abandonReason, true);
    }
    reevaluate(nowMs);
    return effects.drain();
  }

  /** Re-evaluates the flow after the partition's state was restored from a snapshot. */
  public List<ActionEffect> onRestored(long nowMs) {
    if (phase == Phase.WAITING_INTENT) {
      onIntentRestored();
    } else if (phase == Phase.ABANDONING) {
      // The verdict may have been lost with the records that the snapshot replaced, so another
      // abandon record is appended.
      effects.append(new ProgramRecord.ActionAbandoned(ids.next(), intentId));
    }
    reevaluate(nowMs);
    return effects.drain();
  }

  /** Applies timeouts and retries that are due; calling it early has no adverse effect. */
  public List<ActionEffect> tick(long nowMs) {
    effects.retryRefusedAppend();
    boolean pastAbandonTime = nowMs >= request.deadlineAtMs() - timing.abandonBeforeDeadlineMs();
    if (pastAbandonTime && phase == Phase.WAITING_INTENT) {
      abandonReason = ActionReason.DEADLINE_BEFORE_SEND;
      phase = Phase.ABANDONING;
      effects.add(new ActionEffect.CancelAppend(intentId));
    }
    if (pastAbandonTime && phase == Phase.READY) {
      abandonIntent(ActionReason.DEADLINE_BEFORE_SEND);
    }
    if (phase == Phase.QUERYING) {
      queryStatus();
    }
    reevaluate(nowMs);
    if (nowMs >= request.deadlineAtMs()) {
      onDeadline();
    }
    return effects.drain();
  }

  /** Processes the committer's result for {@link ActionEffect.CancelAppend}. */
  public List<ActionEffect> onAppendCancelled(AbandonResult result, long nowMs) {
    if (phase != Phase.ABANDONING) {
      return effects.drain();
    }
    if (result == AbandonResult.NEVER_APPENDED) {
      refuse(abandonReason, false);
      return effects.drain();
    }
    effects.append(new ProgramRecord.ActionAbandoned(ids.next(), intentId));
    return effects.drain();
  }

  /** Handles a record that the committer refused and therefore did not append. */
  public List<ActionEffect> onAppendRefused(RecordId id, long nowMs) {
    if (phase == Phase.WAITING_INTENT && id.equals(intentId)) {
      refuse(ActionReason.LOG_FULL, false);
      return effects.drain();
    }
    effects.onAppendRefused(id, nowMs + timing.retryDelayMs());
    return effects.drain();
  }

  /**
   * Checks the lease and the deadline and returns an {@link ActionEffect.Send} if the request may
   * be sent. The driver must send it without delay, as the checks hold only for the current time.
   */
  public List<ActionEffect> beginSend(long nowMs) {
    effects.onPrepared();
    if (phase != Phase.READY) {
      return effects.drain();
    }
    if (nowMs > request.deadlineAtMs() - timing.minTimeToSendMs()) {
      abandonIntent(ActionReason.DEADLINE_BEFORE_SEND);
      return effects.drain();
    }
    if (!lease.isValidAt(nowMs)) {
      reevaluate(nowMs);
      return effects.drain();
    }
    phase = Phase.SENT;
    sentToken = lease.claimOffset();
    effects.add(new ActionEffect.Send(request, sentToken));
    return effects.drain();
  }

  /** Processes the service's response to the request. */
  public List<ActionEffect> onResponse(Bytes result, long nowMs) {
    if (phase == Phase.SENT || phase == Phase.QUERYING) {
      recordOutcome(new ActionReply(Outcome.DONE, ActionReason.SERVICE_ANSWERED, result));
    }
    return effects.drain();
  }

  /** Handles a failed send, with a status query where the service supports it. */
  public List<ActionEffect> onSendFailed(SendFailure failure, long nowMs) {
    if (phase != Phase.SENT) {
      return effects.drain();
    }
    if (failure.isKnownNotExecuted()) {
      recordOutcome(ActionReply.of(Outcome.NOT_RUN, ActionReason.SERVICE_DID_NOT_RUN));
    } else if (!capabilities.supportsStatusQuery()) {
      recordOutcome(ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST));
    } else {
      phase = Phase.QUERYING;
      queryStatus();
    }
    return effects.drain();
  }

  /** Processes the response to a status query that carried the given fencing token. */
  public List<ActionEffect> onStatusResponse(
      StatusResponse response, long fencingToken, long nowMs) {
    if (phase != Phase.QUERYING) {
      return effects.drain();
    }
    Optional<ActionReply> reply =
        StatusResponseEvaluator.evaluate(
            response, capabilities, fencingToken, sentToken.orElseThrow());
    if (reply.isPresent()) {
      recordOutcome(reply.get());
    } else if (nowMs >= request.deadlineAtMs()) {
      recordOutcome(ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST));
    } else {
      effects.scheduleTick(nowMs + timing.retryDelayMs());
    }
    return effects.drain();
  }

  /** Returns whether the flow has finished and needs no further events. */
  public boolean isClosed() {
    return phase == Phase.CLOSED;
  }

  private void reserveKey(long nowMs) {
    Optional<ActionView> action = findAction();
    if (action.isPresent()) {
      followExistingAction(action.get());
      return;
    }
    if (!reader.isComplete() || lease.status() != PartitionLease.Status.HELD) {
      refuse(ActionReason.NOT_OWNER, false);
      return;
    }
    Optional<ActionReason> refusalReason =
        ActionReasons.forProgram(reader.state().program(request.program()));
    if (refusalReason.isPresent()) {
      refuse(refusalReason.get(), false);
      return;
    }
    long abandonAtMs = request.deadlineAtMs() - timing.abandonBeforeDeadlineMs();
    if (nowMs >= abandonAtMs) {
      refuse(ActionReason.DEADLINE_BEFORE_SEND, false);
      return;
    }
    phase = Phase.WAITING_INTENT;
    intentId = ids.next();
    effects.append(request.toIntentRecord(intentId, lease.epoch()));
    effects.scheduleTick(abandonAtMs);
  }

  private void followExistingAction(ActionView action) {
    boolean isSameRequest =
        action.service().equals(request.service()) && action.request().equals(request.content());
    if (!isSameRequest) {
      effects.reply(ActionReply.of(Outcome.NOT_RUN, ActionReason.KEY_OF_OTHER_REQUEST));
      phase = Phase.CLOSED;
      return;
    }
    phase = Phase.WAITING_OTHER;
  }

  private void onIntentApplied(AppliedRecord applied, long nowMs) {
    if (phase != Phase.WAITING_INTENT || applied.verdict() instanceof Verdict.Duplicate) {
      return;
    }
    if (applied.verdict().isAccepted()) {
      phase = Phase.READY;
      return;
    }
    RecordRefusal intentRefusal = ((Verdict.Refused) applied.verdict()).reason();
    if (intentRefusal == RecordRefusal.KEY_USED) {
      // The state may already include later records, one of which may have released the key.
      reserveKey(nowMs);
      return;
    }
    refuse(ActionReasons.forRefusal(intentRefusal), true);
  }

  private void onIntentRestored() {
    Optional<ActionView> action = findAction();
    if (action.isEmpty()) {
      return;
    }
    if (action.get().intent().equals(intentId)) {
      phase = Phase.READY;
    } else {
      followExistingAction(action.get());
    }
  }

  /**
   * Re-evaluates the flow against the partition's state and the lease: checks for a recorded
   * outcome, a released key, a lost claim and a lease that has become valid again.
   */
  private void reevaluate(long nowMs) {
    if (!reader.isComplete() || phase == Phase.CLOSED) {
      return;
    }
    Optional<ActionView> action = findAction();
    if (action.flatMap(ActionView::outcome).isPresent() && isFollowing(action.get())) {
      replyWithRecordedOutcome(action.get());
      return;
    }
    if (phase == Phase.WAITING_OTHER && effects.hasReply()) {
      phase = Phase.CLOSED;
    }
    if (phase == Phase.WAITING_OTHER && action.isEmpty()) {
      reserveKey(nowMs);
    }
    if (phase == Phase.VERIFYING) {
      refuse(pendingRefusal, false);
      effects.scheduleTick(nowMs + timing.retryDelayMs());
    }
    if (phase != Phase.READY) {
      return;
    }
    if (lease.status() == PartitionLease.Status.LOST) {
      abandonIntent(ActionReason.NOT_OWNER);
    } else if (lease.isValidAt(nowMs)) {
      effects.prepareSend();
    } else {
      effects.scheduleTick(nowMs + timing.retryDelayMs());
    }
  }

  private boolean isFollowing(ActionView action) {
    return phase == Phase.WAITING_OTHER || action.intent().equals(intentId);
  }

  private void replyWithRecordedOutcome(ActionView action) {
    Outcome outcome = action.outcome().orElseThrow();
    boolean isOwnOutcome = pendingReply != null && pendingReply.outcome() == outcome;
    ActionReason reason = isOwnOutcome ? pendingReply.reason() : ActionReason.RECORDED_BEFORE;
    effects.reply(new ActionReply(outcome, reason, action.result()));
    phase = Phase.CLOSED;
  }

  private void abandonIntent(ActionReason reason) {
    phase = Phase.ABANDONING;
    abandonReason = reason;
    effects.append(new ProgramRecord.ActionAbandoned(ids.next(), intentId));
  }

  /**
   * Ends a request that was not sent and holds no live intent. Unless the key is known to be new,
   * the reply is deferred until a read that was issued after the request arrived has reached the
   * end of the log.
   */
  private void refuse(ActionReason reason, boolean verdictRead) {
    Optional<ActionView> action = findAction();
    if (action.isPresent() && !action.get().intent().equals(intentId)) {
      followExistingAction(action.get());
      return;
    }
    boolean readSinceArrival =
        verdictRead || reader.caughtUpAtMs().orElse(Long.MIN_VALUE) >= arrivedAtMs;
    if (request.isNewKey() || readSinceArrival || effects.hasReply()) {
      effects.reply(ActionReply.of(Outcome.NOT_RUN, reason));
      phase = Phase.CLOSED;
      return;
    }
    phase = Phase.VERIFYING;
    pendingRefusal = reason;
  }

  private void onDeadline() {
    if (phase == Phase.READY) {
      abandonIntent(ActionReason.DEADLINE_BEFORE_SEND);
    }
    if (pendingReply != null) {
      effects.reply(pendingReply);
    }
    boolean verifying = phase == Phase.VERIFYING;
    effects.reply(
        ActionReply.of(
            Outcome.UNKNOWN,
            verifying ? ActionReason.KEY_NOT_VERIFIED : ActionReason.DEADLINE_WHILE_OPEN));
    phase = verifying || phase == Phase.WAITING_OTHER ? Phase.CLOSED : phase;
  }

  /** Appends the outcome of a request that was sent. */
  private void recordOutcome(ActionReply outcome) {
    pendingReply = outcome;
    phase = Phase.RECORDING;
    effects.append(request.toOutcomeRecord(ids.next(), intentId, outcome));
  }

  private void queryStatus() {
    long token = Math.max(lease.claimOffset().orElse(-1), sentToken.orElseThrow());
    effects.add(new ActionEffect.QueryStatus(request.service(), request.key(), token));
  }

  private Optional<ActionView> findAction() {
    return reader.state().action(request.program(), request.key());
  }
}
