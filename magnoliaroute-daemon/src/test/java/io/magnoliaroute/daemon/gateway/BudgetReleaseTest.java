package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinStore;
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

  private static final long GENERATED_TOKENS = 60;
  private static final long SLICE_TOKENS = 3 * TURN_TOKENS;
  private static final List<Integer> ALL_SERVED = Collections.nCopies(PROGRAMS, 200);

  /** Longer than the delay between the begin of a stop and its release of the budgets. */
  private static final long STORE_REFUSES_MS = 4_000;

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

  @Test
  @DisplayName("get its tokens back, and no 402 before, if the store refuses the first release")
  void releaseToRefusingStore() {
    takeSlices(SLICE_TOKENS);
    Future<Void> stopped = beginStop();
    environment.store().setFault(StandinStore.Fault.DOWN);
    long refusedUntilMs = System.currentTimeMillis() + STORE_REFUSES_MS;
    Await.until(
        "the VM has tried to release its slices",
        () -> stopped.isComplete() || System.currentTimeMillis() > refusedUntilMs);
    List<Integer> statuses = environment.sendTurnsToSecondVm(PROGRAMS, SLICE_TOKENS, TURN_TOKENS);
    assertFalse(statuses.contains(402), "402 before the budgets are spent");
    environment.store().setFault(StandinStore.Fault.NONE);
    Await.result(stopped);

    Await.until("the store is used again", () -> !environment.storeUnavailableAtSecondVm());
    assertEquals(ALL_SERVED, environment.sendTurnsToSecondVm(PROGRAMS, SLICE_TOKENS, TURN_TOKENS));
  }

  @Test
  @DisplayName("get their whole budgets from a VM that had taken a slice before the release")
  void releaseAfterOtherSlice() {
    long budgetTokens = 2 * SLICE_TOKENS;
    takeSlices(budgetTokens);
    Future<Void> stopped = beginStop();
    assertEquals(ALL_SERVED, environment.sendTurnsToSecondVm(PROGRAMS, budgetTokens, TURN_TOKENS));
    Await.result(stopped);

    long usedTokens = 2 * GENERATED_TOKENS;
    while (usedTokens + TURN_TOKENS <= budgetTokens) {
      assertEquals(
          ALL_SERVED, environment.sendTurnsToSecondVm(PROGRAMS, budgetTokens, TURN_TOKENS));
      usedTokens += GENERATED_TOKENS;
    }
    assertEquals(
        Collections.nCopies(PROGRAMS, 402),
        environment.sendTurnsToSecondVm(PROGRAMS, budgetTokens, TURN_TOKENS));
  }

  @Test
  @DisplayName("get their whole budgets after another VM has become their first one")
  void firstVmChanges() {
    long budgetTokens = 2 * SLICE_TOKENS;
    takeSlices(budgetTokens);

    long usedTokens = GENERATED_TOKENS;
    while (usedTokens + TURN_TOKENS <= budgetTokens) {
      assertEquals(
          ALL_SERVED, environment.sendTurnsToSecondVm(PROGRAMS, budgetTokens, TURN_TOKENS));
      usedTokens += GENERATED_TOKENS;
    }
  }
}
