package io.magnoliaroute.core.drain;

import java.util.ArrayList;
import java.util.List;

/**
 * State machine for the graceful shutdown of a VM. The VM reports not ready, refuses new programs,
 * waits for streams to complete, releases leases and budget slices, flushes the log and exits. The
 * drain timeout limits the total duration.
 */
public final class VmShutdown {

  private static final int EXIT_OK = 0;
  private static final int EXIT_INCOMPLETE = 3;

  private final long notReadyDelayMs;
  private final long drainTimeoutMs;
  private ShutdownPhase phase = ShutdownPhase.RUNNING;
  private long startedMs;

  /**
   * Creates the state machine of a running VM.
   *
   * @param notReadyDelayMs the time between reporting not ready and refusing programs; without it,
   *     programs would be refused that the load balancer sends before it detects the state
   * @param drainTimeoutMs the maximum duration of the shutdown
   */
  public VmShutdown(long notReadyDelayMs, long drainTimeoutMs) {
    if (notReadyDelayMs < 0 || drainTimeoutMs <= notReadyDelayMs) {
      throw new IllegalArgumentException(
          "drainTimeoutMs must exceed notReadyDelayMs, which must not be negative; were "
              + drainTimeoutMs
              + ", "
              + notReadyDelayMs);
    }
    this.notReadyDelayMs = notReadyDelayMs;
    this.drainTimeoutMs = drainTimeoutMs;
  }

  /** Returns the current phase. */
  public ShutdownPhase phase() {
    return phase;
  }

  /** Begins the shutdown; has no effect if it has already begun. */
  public List<ShutdownEffect> begin(long nowMs) {
    if (phase != ShutdownPhase.RUNNING) {
      return List.of();
    }
    phase = ShutdownPhase.NOT_READY;
    startedMs = nowMs;
    return List.of(new ShutdownEffect.ReportNotReady());
  }

  /**
   * Advances as far as the pending work allows and returns the resulting actions. Called several
   * times per second.
   */
  public List<ShutdownEffect> tick(PendingWork pending, long nowMs) {
    if (phase == ShutdownPhase.RUNNING || phase == ShutdownPhase.EXITED) {
      return List.of();
    }
    if (nowMs - startedMs >= drainTimeoutMs) {
      phase = ShutdownPhase.EXITED;
      return List.of(
          new ShutdownEffect.Exit(pending.isEmpty() ? EXIT_OK : EXIT_INCOMPLETE, pending));
    }
    List<ShutdownEffect> effects = new ArrayList<>();
    ShutdownPhase previous;
    do {
      previous = phase;
      advance(pending, nowMs, effects);
    } while (phase != previous);
    return effects;
  }

  private void advance(PendingWork pending, long nowMs, List<ShutdownEffect> effects) {
    switch (phase) {
      case NOT_READY -> {
        if (nowMs - startedMs >= notReadyDelayMs) {
          enter(ShutdownPhase.STREAMS, new ShutdownEffect.RefuseNewPrograms(), effects);
        }
      }
      case STREAMS -> {
        if (pending.streams() == 0) {
          enter(ShutdownPhase.RELEASING, new ShutdownEffect.ReleaseLeasesAndSlices(), effects);
        }
      }
      case RELEASING -> {
        if (pending.leases() == 0 && pending.slices() == 0) {
          enter(ShutdownPhase.FLUSHING, new ShutdownEffect.FlushLog(), effects);
        }
      }
      case FLUSHING -> {
        if (pending.isEmpty()) {
          enter(ShutdownPhase.EXITED, new ShutdownEffect.Exit(EXIT_OK, pending), effects);
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
