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
  private boolean waitingForAnswer;
  private boolean mayHaveRun;
  private boolean closed;

  /**
   * Creates a flow.
   *
   * @throws IllegalArgumentException if the request is not idempotent
   */
  public IdempotentFlow(ActionRequest request, ActionTiming timing) {
    this.request = Objects.requireNonNull(request, "request");
    this.timing = Objects.requireNonNull(timing, "timing");
    if (!request.idempotent()) {
      throw new IllegalArgumentException("request must be idempotent, key " + request.key());
    }
  }

  /** Starts the flow by preparing the first send. */
  public List<ActionEffect> start() {
    effects.add(new ActionEffect.WakeAt(request.deadlineAtMs()));
    effects.add(new ActionEffect.PrepareSend());
    return take();
  }

  /** Checks the deadline and returns an {@link ActionEffect.Send} if the request may be sent. */
  public List<ActionEffect> beginSend(long nowMs) {
    if (closed || waitingForAnswer) {
      return take();
    }
    if (nowMs > request.deadlineAtMs() - timing.minSendMs()) {
      Outcome outcome = mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      reply(ActionReply.of(outcome, ActionReason.DEADLINE_BEFORE_SEND));
      return take();
    }
    waitingForAnswer = true;
    effects.add(new ActionEffect.Send(request, OptionalLong.empty()));
    return take();
  }

  /** Processes the service's response to the request. */
  public List<ActionEffect> onAnswer(Bytes result) {
    reply(new ActionReply(Outcome.DONE, ActionReason.SERVICE_ANSWERED, result));
    return take();
  }

  /** Handles a failed attempt that the driver retries. */
  public List<ActionEffect> retrySend(SendFailure failure) {
    mayHaveRun |= !failure.didNotRun();
    waitingForAnswer = false;
    if (!closed) {
      effects.add(new ActionEffect.PrepareSend());
    }
    return take();
  }

  /** Handles a failed attempt that the driver does not retry. */
  public List<ActionEffect> onSendFailed(SendFailure failure) {
    mayHaveRun |= !failure.didNotRun();
    ActionReply reply =
        mayHaveRun
            ? ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST)
            : ActionReply.of(Outcome.NOT_RUN, ActionReason.SERVICE_DID_NOT_RUN);
    reply(reply);
    return take();
  }

  /** Replies if the deadline has passed; calling it early has no adverse effect. */
  public List<ActionEffect> tick(long nowMs) {
    if (nowMs >= request.deadlineAtMs()) {
      boolean mayStillRun = waitingForAnswer || mayHaveRun;
      ActionReply reply =
          mayStillRun
              ? ActionReply.of(Outcome.UNKNOWN, ActionReason.DEADLINE_WHILE_OPEN)
              : ActionReply.of(Outcome.NOT_RUN, ActionReason.DEADLINE_BEFORE_SEND);
      reply(reply);
    }
    return take();
  }

  /** Returns whether the flow has finished and needs no further events. */
  public boolean closed() {
    return closed;
  }

  private void reply(ActionReply reply) {
    if (!closed) {
      closed = true;
      effects.add(new ActionEffect.Reply(reply));
    }
  }

  private List<ActionEffect> take() {
    List<ActionEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
