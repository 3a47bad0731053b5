package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.Future;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against tokens that are lost, or refused too early, when a VM stops gracefully. */
@DisplayName("Programs whose VM stops gracefully")
class BudgetReleaseTest {

  private static final int PROGRAMS = 8;

  /** What a turn may generate; the stand-in endpoints generate less. */
  private static final long TURN_TOKENS = 100;

  private static final long SLICE_TOKENS = 3 * TURN_TOKENS;
  private static final List<Integer> ALL_SERVED = Collections.nCopies(PROGRAMS, 200);

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private void takeSlices(long budgetTokens) {
    for (int i = 0; i < PROGRAMS; i++) {
      assertEquals(200, environment.sendTurn("p" + i, budgetTokens, TURN_TOKENS).status());
    }
    environment.joinSecondVm("dc");
    Await.until("the second VM has the records", this::isSecondVmLoaded);
  }

  private boolean isSecondVmLoaded() {
    return environment.loadedPartitionsAtSecondVm() == 2;
  }

  private Future<Void> beginStop() {
    Future<Void> stopped = environment.beginVmStop();
    Await.until("the VM has deregistered", () -> environment.secondVm().knownVms() == 1);
    return stopped;
  }

  @Test
  @DisplayName("get its tokens back if other VMs have appended records since it read them last")
  void releaseAfterOtherRecords() {
    takeSlices(SLICE_TOKENS);
    Future<Void> stopped = beginStop();
    environment.sendTurnsToSecondVm("q", PROGRAMS, SLICE_TOKENS, TURN_TOKENS);
    Await.result(stopped);

    assertEquals(ALL_SERVED, environment.sendTurnsToSecondVm(PROGRAMS, SLICE_TOKENS, TURN_TOKENS));
  }
}
