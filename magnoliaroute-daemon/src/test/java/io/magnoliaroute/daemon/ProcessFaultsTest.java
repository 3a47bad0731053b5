package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.Caller;
import io.magnoliaroute.daemon.support.DaemonProcess;
import io.magnoliaroute.daemon.support.TestWorld;
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

/** Three daemons in processes of their own, of which one dies or is paused. */
final class ProcessFaultsTest {

  private static final int PROGRAMS = 8;
  private static final int MAX_TRIES = 200;

  @TempDir Path directory;

  private TestWorld world;
  private List<DaemonProcess> daemons;

  @BeforeEach
  void startProcesses() {
    EngineOptions paced =
        EngineOptions.instant(TestWorld.MODEL)
            .withAnswerTokens(TestWorld.ANSWER_TOKENS)
            .withTokenIntervalMs(50)
            .withSlots(32);
    world = new TestWorld(paced, 2, true);
    daemons = new ArrayList<>();
    List<DaemonProcess.Plan> plans = DaemonProcess.plan("vm-1", "vm-2", "vm-3");
    for (DaemonProcess.Plan plan : plans) {
      daemons.add(DaemonProcess.start(plan, plans, world.logAddress(), directory));
    }
    Await.until("the daemons see each other", this::allSeeAll);
    Await.until("the last daemon owns a partition", () -> ownsPartitions(daemons.get(2)));
  }

  @AfterEach
  void stopProcesses() {
    daemons.forEach(DaemonProcess::close);
    world.close();
  }

  /** Guards against lost or mixed turns and second executions when a VM dies (G2, G7). */
  @Test
  void aKilledDaemonLosesNoAcknowledgedTurnAndRunsNoActionTwice() throws Exception {
    Map<String, CompletableFuture<Caller.Reply>> streams = new LinkedHashMap<>();
    Map<String, CompletableFuture<Caller.Reply>> actions = new LinkedHashMap<>();
    Caller caller = daemons.get(0).caller();
    List<String> programs = startPrograms(caller);
    world.service().faults().setDelayMs(300);
    for (String program : programs) {
      streams.put(program, caller.turnLater(program, "second of " + program, 1));
      actions.put(program, caller.actionLater(program, "capture_payment", "pay", 8_000));
    }
    Await.until(
        "streams and actions run",
        () ->
            world.engine(0).runningCalls() + world.engine(1).runningCalls() > 0
                && world.service().arrivals() > 0);
    daemons.get(2).kill();
    for (String program : programs) {
      finishTurn(program, streams.get(program));
      finishAction(program, actions.get(program));
    }
    checkHistories(programs, daemons.get(1).caller());
  }

  /** Guards against an owner that acts on its old claim after a pause (G2, G7). */
  @Test
  void aDaemonPausedPastItsLeaseMixesNoHistoryAndRunsNoActionTwice() throws Exception {
    Caller caller = daemons.get(0).caller();
    List<String> programs = startPrograms(caller);
    world.service().faults().setDelayMs(300);
    Map<String, CompletableFuture<Caller.Reply>> paused = new LinkedHashMap<>();
    for (String program : programs) {
      paused.put(program, caller.actionLater(program, "capture_payment", "pay", 8_000));
    }
    Await.until("actions arrive", () -> world.service().arrivals() > 0);
    daemons.get(2).signal("STOP");
    try {
      Map<String, CompletableFuture<Caller.Reply>> turns = new LinkedHashMap<>();
      for (String program : programs) {
        turns.put(program, caller.turnLater(program, "second of " + program, 1));
      }
      turns.forEach(this::finishTurn);
    } finally {
      daemons.get(2).signal("CONT");
    }
    for (String program : programs) {
      finishAction(program, paused.get(program));
    }
    Await.until("the daemons see each other", this::allSeeAll);
    for (String program : programs) {
      assertTrue(world.service().executionsOf(program + "/pay") <= 1, "executions of " + program);
    }
    checkHistories(programs, daemons.get(2).caller());
  }

  /** Guards against a process that ignores SIGTERM or exits with the wrong code (G9). */
  @Test
  void aTerminatedDaemonExitsWithCodeZero() {
    assertEquals("done", daemons.get(1).caller().turn(startOne(), "one", false).outcome());
    assertEquals(0, daemons.get(1).terminate());
  }

  private static boolean ownsPartitions(DaemonProcess daemon) {
    return daemon.operator().get("/admin/v1/status").json().getInteger("owned_partitions") > 0;
  }

  private String startOne() {
    return startPrograms(daemons.get(0).caller()).get(0);
  }

  private List<String> startPrograms(Caller caller) {
    List<String> programs = new ArrayList<>();
    for (int i = 0; i < PROGRAMS; i++) {
      programs.add(caller.startProgram());
    }
    List<CompletableFuture<Caller.Reply>> turns = new ArrayList<>();
    programs.forEach(each -> turns.add(caller.turnLater(each, "first of " + each, 0)));
    for (CompletableFuture<Caller.Reply> turn : turns) {
      assertTrue(isDone(turn.join()), turn.join().text());
    }
    return programs;
  }

  /** Waits for the turn and repeats it at another daemon until it is acknowledged. */
  private void finishTurn(String program, CompletableFuture<Caller.Reply> running) {
    Caller.Reply reply = settled(running);
    for (int i = 0; i < MAX_TRIES && !isDone(reply); i++) {
      reply = daemons.get(i % 2).caller().turn(program, "second of " + program, true, 1);
      pauseAfter(reply);
    }
    assertTrue(isDone(reply), reply.text());
  }

  /** Waits for the action and repeats it with its key until its outcome is known. */
  private void finishAction(String program, CompletableFuture<Caller.Reply> running) {
    Caller.Reply reply = settled(running);
    for (int i = 0; i < MAX_TRIES && !isSettled(reply); i++) {
      reply = daemons.get(i % 2).caller().action(program, "capture_payment", "pay", 8_000);
      pauseAfter(reply);
    }
    assertTrue(isSettled(reply), reply.text());
    int executions = world.service().executionsOf(program + "/pay");
    assertTrue(executions <= 1, executions + " executions of " + program);
    if (reply.outcome().equals("done")) {
      assertEquals(1, executions, program);
    }
  }

  /** Waits for the membership to settle before a repeat, one check interval at a time. */
  private void pauseAfter(Caller.Reply reply) {
    if (!isDone(reply)) {
      int[] checks = new int[1];
      Await.until("time for a repeat", () -> ++checks[0] > 20);
    }
  }

  private static boolean isDone(Caller.Reply reply) {
    return reply.text().contains("\"outcome\":\"done\"");
  }

  private static boolean isSettled(Caller.Reply reply) {
    return isDone(reply) || reply.text().contains("recorded_before");
  }

  private static Caller.Reply settled(CompletableFuture<Caller.Reply> running) {
    try {
      return running.get();
    } catch (ExecutionException e) {
      return new Caller.Reply(0, "connection_lost", "{}", "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }

  private void checkHistories(List<String> programs, Caller caller) {
    for (String program : programs) {
      Caller.Reply reply = caller.get("/v1/programs/" + program + "/history");
      for (int i = 0; i < MAX_TRIES && reply.status() != 200; i++) {
        pauseAfter(reply);
        reply = caller.get("/v1/programs/" + program + "/history");
      }
      JsonArray messages = reply.json().getJsonArray("messages");
      assertEquals(4, messages.size(), reply.text());
      assertEquals("first of " + program, content(messages, 0));
      assertEquals("second of " + program, content(messages, 2));
    }
  }

  private static String content(JsonArray messages, int index) {
    return messages.getJsonObject(index).getString("content");
  }

  private boolean allSeeAll() {
    return daemons.stream()
        .allMatch(
            daemon -> {
              JsonObject status = daemon.operator().get("/admin/v1/status").json();
              JsonArray members = status.getJsonArray("members", new JsonArray());
              return members.stream()
                      .filter(each -> "ALIVE".equals(((JsonObject) each).getString("state")))
                      .count()
                  == daemons.size();
            });
  }
}
