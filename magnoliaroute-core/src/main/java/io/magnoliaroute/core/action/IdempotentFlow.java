package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * One caller's request for an idempotent action, as a state machine without I/O.
 *
 * <p>No record is written. The driver decides on each failure whether to send again, inside its
 * retry budget. Not safe for use by several threads.
 */
public final class IdempotentFlow {

  private final ActionRequest request;
  private final ActionTiming timing;
  private final List<ActionEffect> effects = new ArrayList<>();
  private boolean waitingForAnswer;
  private boolean mayHaveRun;
  private boolean closed;

  /** Makes a flow; the request must be idempotent. */
  public IdempotentFlow(ActionRequest request, ActionTiming timing) {
    this.request = Objects.requireNonNull(request, "request");
    this.timing = Objects.requireNonNull(timing, "timing");
    if (!request.idempotent()) {
      throw new IllegalArgumentException("request must be idempotent: " + request.key());
    }
  }

  /** Starts the flow when the request arrives. */
  public List<ActionEffect> start() {
    effects.add(new ActionEffect.WakeAt(request.deadlineAtMs()));
    effects.add(new ActionEffect.PrepareSend());
    return take();
  }

  /** Checks the deadline and returns the {@link ActionEffect.Send} if the request may go out. */
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

  /** Takes the service's answer. */
  public List<ActionEffect> onAnswer(Bytes result) {
    reply(new ActionReply(Outcome.DONE, ActionReason.SERVICE_ANSWERED, result));
    return take();
  }

  /** Takes a failure after which the driver sends again. */
  public List<ActionEffect> retrySend(SendFailure failure) {
    mayHaveRun |= !failure.didNotRun();
    waitingForAnswer = false;
    if (!closed) {
      effects.add(new ActionEffect.PrepareSend());
    }
    return take();
  }

  /** Takes a failure after which the driver does not send again. */
  public List<ActionEffect> onSendFailed(SendFailure failure) {
    mayHaveRun |= !failure.didNotRun();
    ActionReply reply =
        mayHaveRun
            ? ActionReply.of(Outcome.UNKNOWN, ActionReason.ANSWER_LOST)
            : ActionReply.of(Outcome.NOT_RUN, ActionReason.SERVICE_DID_NOT_RUN);
    reply(reply);
    return take();
  }

  /** Looks at the clock; an early call does no harm. */
  public List<ActionEffect> tick(long nowMs) {
    if (nowMs >= request.deadlineAtMs()) {
      boolean unknown = waitingForAnswer || mayHaveRun;
      ActionReply reply =
          unknown
              ? ActionReply.of(Outcome.UNKNOWN, ActionReason.DEADLINE_WHILE_OPEN)
              : ActionReply.of(Outcome.NOT_RUN, ActionReason.DEADLINE_BEFORE_SEND);
      reply(reply);
    }
    return take();
  }

  /** Returns whether the flow needs no further events. */
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
    List<ActionEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }
}
