package io.magnoliaroute.core.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

final class VmShutdownTest {

  private static final OpenWork NOTHING = new OpenWork(0, 0, 0, 0);

  private final VmShutdown shutdown = new VmShutdown(2_000, 30_000);

  /** Guards against a step out of order, such as a lease given up while its stream runs. */
  @Test
  void stepsFollowOneAnotherAndTheExitCodeIsZero() {
    assertEquals(List.of(new ShutdownEffect.ReportNotReady()), shutdown.begin(0));
    assertEquals(List.of(), shutdown.tick(new OpenWork(2, 3, 1, 5), 1_999));
    assertEquals(
        List.of(new ShutdownEffect.RefuseNewPrograms()),
        shutdown.tick(new OpenWork(2, 3, 1, 5), 2_000));
    assertEquals(List.of(), shutdown.tick(new OpenWork(1, 0, 0, 0), 3_000));
    assertEquals(
        List.of(new ShutdownEffect.ReleaseHoldings()),
        shutdown.tick(new OpenWork(0, 3, 1, 2), 4_000));
    assertEquals(List.of(), shutdown.tick(new OpenWork(0, 0, 1, 2), 5_000));
    assertEquals(
        List.of(new ShutdownEffect.FlushLog()), shutdown.tick(new OpenWork(0, 0, 0, 2), 6_000));
    assertEquals(List.of(new ShutdownEffect.Exit(0, NOTHING)), shutdown.tick(NOTHING, 7_000));
    assertEquals(List.of(), shutdown.tick(NOTHING, 8_000));
  }

  /** Guards against a stop that hangs on one stream, or hides what it cut. */
  @Test
  void theTimeoutEndsAnyStepWithCodeThreeAndWhatWasCut() {
    shutdown.begin(100);
    shutdown.tick(new OpenWork(1, 1, 0, 0), 20_000);
    OpenWork left = new OpenWork(1, 1, 0, 4);
    assertEquals(List.of(), shutdown.tick(left, 30_099));
    assertEquals(List.of(new ShutdownEffect.Exit(3, left)), shutdown.tick(left, 30_100));
    assertEquals(ShutdownPhase.EXITED, shutdown.phase());
  }

  /** Guards against a second signal that restarts the stop, and a stop that nobody asked for. */
  @Test
  void aSecondSignalChangesNothing() {
    assertEquals(List.of(), shutdown.tick(NOTHING, 0));
    shutdown.begin(0);
    assertEquals(List.of(), shutdown.begin(1_000));
    assertEquals(4, shutdown.tick(NOTHING, 2_000).size());
  }
}
