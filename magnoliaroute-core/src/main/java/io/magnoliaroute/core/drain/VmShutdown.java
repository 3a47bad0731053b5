package io.magnoliaroute.core.drain;

import java.util.ArrayList;
import java.util.List;

/**
 * The planned stop of a VM: not ready, no new programs, streams finish, leases and slices are
 * released, the log is flushed, exit. The drain timeout limits all of it together.
 */
public final class VmShutdown {

  private static final int EXIT_OK = 0;
  private static final int EXIT_CUT = 3;

  private final long notReadyMs;
  private final long drainTimeoutMs;
  private ShutdownPhase phase = ShutdownPhase.RUNNING;
  private long startedMs;

  /**
   * Makes the state of a VM that runs.
   *
   * @param notReadyMs time in which the balancer sees that the VM is not ready, before programs are
   *     refused; refusing at once would turn away callers that the balancer still sends
   * @param drainTimeoutMs the hard limit of the stop
   */
  public VmShutdown(long notReadyMs, long drainTimeoutMs) {
    if (notReadyMs < 0 || drainTimeoutMs <= notReadyMs) {
      throw new IllegalArgumentException(
          "drainTimeoutMs must exceed notReadyMs, were " + drainTimeoutMs + ", " + notReadyMs);
    }
    this.notReadyMs = notReadyMs;
    this.drainTimeoutMs = drainTimeoutMs;
  }

  /** Returns how far the stop has come. */
  public ShutdownPhase phase() {
    return phase;
  }

  /** Begins the stop; a second signal changes nothing. */
  public List<ShutdownEffect> begin(long nowMs) {
    if (phase != ShutdownPhase.RUNNING) {
      return List.of();
    }
    phase = ShutdownPhase.NOT_READY;
    startedMs = nowMs;
    return List.of(new ShutdownEffect.ReportNotReady());
  }

  /** Moves on as far as the open work allows; called several times a second. */
  public List<ShutdownEffect> tick(OpenWork open, long nowMs) {
    if (phase == ShutdownPhase.RUNNING || phase == ShutdownPhase.EXITED) {
      return List.of();
    }
    if (nowMs - startedMs >= drainTimeoutMs) {
      phase = ShutdownPhase.EXITED;
      return List.of(new ShutdownEffect.Exit(open.isEmpty() ? EXIT_OK : EXIT_CUT, open));
    }
    List<ShutdownEffect> effects = new ArrayList<>();
    ShutdownPhase before;
    do {
      before = phase;
      advance(open, nowMs, effects);
    } while (phase != before);
    return effects;
  }

  private void advance(OpenWork open, long nowMs, List<ShutdownEffect> effects) {
    switch (phase) {
      case NOT_READY -> {
        if (nowMs - startedMs >= notReadyMs) {
          enter(ShutdownPhase.STREAMS, new ShutdownEffect.RefuseNewPrograms(), effects);
        }
      }
      case STREAMS -> {
        if (open.streams() == 0) {
          enter(ShutdownPhase.RELEASING, new ShutdownEffect.ReleaseHoldings(), effects);
        }
      }
      case RELEASING -> {
        if (open.leases() == 0 && open.slices() == 0) {
          enter(ShutdownPhase.FLUSHING, new ShutdownEffect.FlushLog(), effects);
        }
      }
      case FLUSHING -> {
        if (open.isEmpty()) {
          enter(ShutdownPhase.EXITED, new ShutdownEffect.Exit(EXIT_OK, open), effects);
        }
      }
      default -> {}
    }
  }

  private void enter(ShutdownPhase next, ShutdownEffect effect, List<ShutdownEffect> effects) {
    phase = next;
    effects.add(effect);
  }
}
