package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.DaemonClient;
import io.magnoliaroute.daemon.support.DaemonProcess;
import io.magnoliaroute.daemon.support.DaemonTestEnvironment;
import io.magnoliaroute.standin.engine.EngineOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests three daemons in separate processes, one of which is killed, paused or terminated. */
final class ProcessFaultsTest {

  private static final int PROGRAM_COUNT = 8;
  private static final int MAX_RETRIES = 200;

  @TempDir Path directory;

  private DaemonTestEnvironment environment;
  private List<DaemonProcess> daemons;

  @BeforeEach
  void startProcesses() {
    EngineOptions paced =
        EngineOptions.instant(DaemonTestEnvironment.MODEL)
            .withResponseTokens(DaemonTestEnvironment.COMPLETION_TOKENS)
            .withTokenIntervalMs(50)
            .withSlots(32);
    environment = new DaemonTestEnvironment(paced, 2, true);
    daemons = new ArrayList<>();
    List<DaemonProcess.Spec> specs = DaemonProcess.allocatePorts("vm-1", "vm-2", "vm-3");
    for (DaemonProcess.Spec spec : specs) {
      daemons.add(DaemonProcess.start(spec, specs, environment.logAddress(), directory));
    }
    Await.until("all daemons consider each other alive", this::allMembersAlive);
    Await.until("the last daemon owns a partition", () -> ownsPartitions(daemons.get(2)));
  }

  @AfterEach
  void stopProcesses() {
    daemons.forEach(DaemonProcess::close);
    environment.close();
  }

  /** Guards against lost or mixed turns and repeated executions when a VM crashes (G2, G7). */
  @Test
  void aKilledDaemonLosesNoAcknowledgedTurnAndRunsNoActionTwice() throws Exception {
    Map<String, CompletableFuture<DaemonClient.Response>> streams = new LinkedHashMap<>();
    Map<String, CompletableFuture<DaemonClient.Response>> actions = new LinkedHashMap<>();
    DaemonClient client = daemons.get(0).shopClient();
    List<String> programs = startPrograms(client);
    environment.service().faults().setDelayMs(300);
    for (String program : programs) {
      streams.put(program, client.runTurnAsync(program, "second of " + program, 1));
      actions.put(program, client.executeActionAsync(program, "capture_payment", "pay", 8_000));
    }
    Await.until(
        "turns and actions are running",
        () ->
            environment.engine(0).runningCalls() + environment.engine(1).runningCalls() > 0
                && environment.service().receivedOperations() > 0);
    daemons.get(2).kill();
    for (String program : programs) {
      retryTurnUntilDone(program, streams.get(program));
      retryActionUntilSettled(program, actions.get(program));
    }
    assertHistoriesComplete(programs, daemons.get(1).shopClient());
  }

  /** Guards against an owner that acts after a pause although its lease has expired (G2, G7). */
  @Test
  void aDaemonPausedPastItsLeaseMixesNoHistoryAndRunsNoActionTwice() throws Exception {
    DaemonClient client = daemons.get(0).shopClient();
    List<String> programs = startPrograms(client);
    environment.service().faults().setDelayMs(300);
    Map<String, CompletableFuture<DaemonClient.Response>> actions = new LinkedHashMap<>();
    for (String program : programs) {
      actions.put(program, client.executeActionAsync(program, "capture_payment", "pay", 8_000));
    }
    Await.until(
        "an action has arrived at the service",
        () -> environment.service().receivedOperations() > 0);
    daemons.get(2).sendSignal("STOP");
    try {
      Map<String, CompletableFuture<DaemonClient.Response>> turns = new LinkedHashMap<>();
      for (String program : programs) {
        turns.put(program, client.runTurnAsync(program, "second of " + program, 1));
      }
      turns.forEach(this::retryTurnUntilDone);
    } finally {
      daemons.get(2).sendSignal("CONT");
    }
    for (String program : programs) {
      retryActionUntilSettled(program, actions.get(program));
    }
    Await.until("all daemons consider each other alive", this::allMembersAlive);
    for (String program : programs) {
      assertTrue(
          environment.service().executionsOf(program + "/pay") <= 1,
          "too many executions of " + program);
    }
    assertHistoriesComplete(programs, daemons.get(2).shopClient());
  }

  /** Guards against a process that ignores SIGTERM or exits with a nonzero code (G9). */
  @Test
  void aTerminatedDaemonExitsWithCodeZero() {
    assertEquals(
        "done", daemons.get(1).shopClient().runTurn(startFirstProgram(), "one", false).outcome());
    assertEquals(0, daemons.get(1).terminate());
  }

  private static boolean ownsPartitions(DaemonProcess daemon) {
    return daemon
            .operatorClient()
            .get("/admin/v1/status")
            .bodyAsJson()
            .getInteger("owned_partitions")
        > 0;
  }

  private String startFirstProgram() {
    return startPrograms(daemons.get(0).shopClient()).get(0);
  }

  private List<String> startPrograms(DaemonClient client) {
    List<String> programs = new ArrayList<>();
    for (int i = 0; i < PROGRAM_COUNT; i++) {
      programs.add(client.startProgram());
    }
    List<CompletableFuture<DaemonClient.Response>> turns = new ArrayList<>();
    programs.forEach(each -> turns.add(client.runTurnAsync(each, "first of " + each, 0)));
    for (CompletableFuture<DaemonClient.Response> turn : turns) {
      assertTrue(isDone(turn.join()), turn.join().body());
    }
    return programs;
  }

  /** Waits for the turn and retries it at the other daemons until it is acknowledged. */
  private void retryTurnUntilDone(
      String program, CompletableFuture<DaemonClient.Response> running) {
    DaemonClient.Response response = awaitResponse(running);
    for (int i = 0; i < MAX_RETRIES && !isDone(response); i++) {
      response = daemons.get(i % 2).shopClient().runTurn(program, "second of " + program, true, 1);
      pauseBeforeRetry(response);
    }
    assertTrue(isDone(response), response.body());
  }

  /** Waits for the action and retries it with the same key until its outcome is known. */
  private void retryActionUntilSettled(
      String program, CompletableFuture<DaemonClient.Response> running) {
    DaemonClient.Response response = awaitResponse(running);
    for (int i = 0; i < MAX_RETRIES && !isSettled(response); i++) {
      response =
          daemons.get(i % 2).shopClient().executeAction(program, "capture_payment", "pay", 8_000);
      pauseBeforeRetry(response);
    }
    assertTrue(isSettled(response), response.body());
    int executions = environment.service().executionsOf(program + "/pay");
    assertTrue(executions <= 1, executions + " executions of " + program);
    if (response.outcome().equals("done")) {
      assertEquals(1, executions, program);
    }
  }

  /** Waits about 20 check intervals after a failed request, so that the membership can converge. */
  private void pauseBeforeRetry(DaemonClient.Response response) {
    if (!isDone(response)) {
      int[] checks = new int[1];
      Await.until("the pause before the retry is over", () -> ++checks[0] > 20);
    }
  }

  private static boolean isDone(DaemonClient.Response response) {
    return response.body().contains("\"outcome\":\"done\"");
  }

  private static boolean isSettled(DaemonClient.Response response) {
    return isDone(response) || response.body().contains("recorded_before");
  }

  private static DaemonClient.Response awaitResponse(
      CompletableFuture<DaemonClient.Response> running) {
    try {
      return running.get();
    } catch (ExecutionException e) {
      return new DaemonClient.Response(0, "connection_lost", "{}", "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted while waiting for a response", e);
    }
  }

  private void assertHistoriesComplete(List<String> programs, DaemonClient client) {
    for (String program : programs) {
      DaemonClient.Response response = client.get("/v1/programs/" + program + "/history");
      for (int i = 0; i < MAX_RETRIES && response.status() != 200; i++) {
        pauseBeforeRetry(response);
        response = client.get("/v1/programs/" + program + "/history");
      }
      JsonArray messages = response.bodyAsJson().getJsonArray("messages");
      assertEquals(4, messages.size(), response.body());
      assertEquals("first of " + program, messageContent(messages, 0));
      assertEquals("second of " + program, messageContent(messages, 2));
    }
  }

  private static String messageContent(JsonArray messages, int index) {
    return messages.getJsonObject(index).getString("content");
  }

  private boolean allMembersAlive() {
    return daemons.stream()
        .allMatch(
            daemon -> {
              JsonObject status = daemon.operatorClient().get("/admin/v1/status").bodyAsJson();
              JsonArray members = status.getJsonArray("members", new JsonArray());
              return members.stream()
                      .filter(each -> "ALIVE".equals(((JsonObject) each).getString("state")))
                      .count()
                  == daemons.size();
            });
  }
}
