package io.magnoliaroute.core.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

final class VmShutdownTest {

  private static final PendingWork NO_WORK = new PendingWork(0, 0, 0, 0);

  private final VmShutdown shutdown = new VmShutdown(2_000, 30_000);

  /** Guards against actions out of order, such as releasing a lease while its stream is running. */
  @Test
  void phasesFollowInOrderAndTheExitCodeIsZero() {
    assertEquals(List.of(new ShutdownEffect.ReportNotReady()), shutdown.begin(0));
    assertEquals(List.of(), shutdown.tick(new PendingWork(2, 3, 1, 5), 1_999));
    assertEquals(
        List.of(new ShutdownEffect.RefuseNewPrograms()),
        shutdown.tick(new PendingWork(2, 3, 1, 5), 2_000));
    assertEquals(List.of(), shutdown.tick(new PendingWork(1, 0, 0, 0), 3_000));
    assertEquals(
        List.of(new ShutdownEffect.ReleaseLeasesAndSlices()),
        shutdown.tick(new PendingWork(0, 3, 1, 2), 4_000));
    assertEquals(List.of(), shutdown.tick(new PendingWork(0, 0, 1, 2), 5_000));
    assertEquals(
        List.of(new ShutdownEffect.FlushLog()), shutdown.tick(new PendingWork(0, 0, 0, 2), 6_000));
    assertEquals(List.of(new ShutdownEffect.Exit(0, NO_WORK)), shutdown.tick(NO_WORK, 7_000));
    assertEquals(List.of(), shutdown.tick(NO_WORK, 8_000));
  }

  /** Guards against a shutdown that waits forever for one stream, or omits the abandoned work. */
  @Test
  void timeoutEndsAnyPhaseWithExitCodeThreeAndReportsAbandonedWork() {
    shutdown.begin(100);
    shutdown.tick(new PendingWork(1, 1, 0, 0), 20_000);
    PendingWork remaining = new PendingWork(1, 1, 0, 4);
    assertEquals(List.of(), shutdown.tick(remaining, 30_099));
    assertEquals(List.of(new ShutdownEffect.Exit(3, remaining)), shutdown.tick(remaining, 30_100));
    assertEquals(ShutdownPhase.EXITED, shutdown.phase());
  }

  /** Guards against a second signal that restarts the shutdown, and a shutdown without a signal. */
  @Test
  void secondSignalHasNoEffect() {
    assertEquals(List.of(), shutdown.tick(NO_WORK, 0));
    shutdown.begin(0);
    assertEquals(List.of(), shutdown.begin(1_000));
    assertEquals(4, shutdown.tick(NO_WORK, 2_000).size());
  }
}
