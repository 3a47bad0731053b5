package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * A state machine, free of I/O, that processes one request for an idempotent action.
 *
 * <p>No record is written to the log. After each failure, the driver decides whether to retry
 * within its retry budget. This class is not thread-safe.
 */
public final class IdempotentFlow {

  private final ActionRequest request;
  private final ActionTiming timing;
  private final List<ActionEffect> effects = new ArrayList<>();
  private boolean awaitingResponse;
  private boolean mayHaveExecuted;
  private boolean isClosed;

  /**
   * Creates a flow.
   *
   * @throws IllegalArgumentException if the request is not idempotent
   */
  public IdempotentFlow(ActionRequest request, ActionTiming timing) {
    this.request = Objects.requireNonNull(request, "request");
    this.timing = Objects.requireNonNull(timing, "timing");
    if (!request.isIdempotent()) {
      throw new IllegalArgumentException("request must be idempotent, key " + request.key());
    }
  }

  /** Starts the flow by preparing the first send. */
  public List<ActionEffect> start() {
    effects.add(new ActionEffect.ScheduleTick(request.deadlineAtMs()));
    effects.add(new ActionEffect.PrepareSend());
    return drainEffects();
  }

  /** Checks the deadline and returns an {@link ActionEffect.Send} if the request may be sent. */
  public List<ActionEffect> beginSend(long nowMs) {
    if (isClosed || awaitingResponse) {
      return drainEffects();
    }
    if (nowMs > request.deadlineAtMs() - timing.minTimeToSendMs()) {
      Outcome outcome = mayHaveExecuted ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      reply(ActionReply.of(outcome, ActionReason.DEADLINE_BEFORE_SEND));
      return drainEffects();
    }
    awaitingResponse = true;
    effects.add(new ActionEffect.Send(request, OptionalLong.empty()));
    return drainEffects();
  }

  /** Processes the service's response to the request. */
  public List<ActionEffect> onResponse(Bytes result) {
    reply(new ActionReply(Outcome.DONE, ActionReason.SERVICE_ANSWERED, result));
    return drainEffects();
  }

  /** Handles a failed attempt that the driver retries. */
  public List<ActionEffect> onRetryableFailure(SendFailure failure) {
    mayHaveExecuted |= !failure.isKnownNotExecuted();
    awaitingResponse = false;
    if (!isClosed) {
      effects.add(new ActionEffect.PrepareSend());
    }
    return drainEffects();
  }

  /** Handles a failed attempt that the driver does not retry. */
  public List<ActionEffect> onSendFailed(SendFailure failure) {
    mayHaveExecuted |= !failure.isKnownNotExecuted();
    ActionReply reply =
        mayHaveExecuted
            ? ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST)
            : ActionReply.of(Outcome.NOT_RUN, ActionReason.SERVICE_DID_NOT_RUN);
    reply(reply);
    return drainEffects();
  }

  /** Replies if the deadline has passed; calling it early has no adverse effect. */
  public List<ActionEffect> tick(long nowMs) {
    if (nowMs >= request.deadlineAtMs()) {
      boolean mayStillRun = awaitingResponse || mayHaveExecuted;
      ActionReply reply =
          mayStillRun
              ? ActionReply.of(Outcome.UNKNOWN, ActionReason.DEADLINE_WHILE_OPEN)
              : ActionReply.of(Outcome.NOT_RUN, ActionReason.DEADLINE_BEFORE_SEND);
      reply(reply);
    }
    return drainEffects();
  }

  /** Returns whether the flow has finished and needs no further events. */
  public boolean isClosed() {
    return isClosed;
  }

  private void reply(ActionReply reply) {
    if (!isClosed) {
      isClosed = true;
      effects.add(new ActionEffect.Reply(reply));
    }
  }

  private List<ActionEffect> drainEffects() {
    List<ActionEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
