package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.lifecycle.StopReport;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.Caller;
import io.magnoliaroute.daemon.support.TestWorld;
import io.magnoliaroute.standin.engine.EngineOptions;
import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A planned stop cuts off nothing (G9). */
final class PlannedStopTest {

  private static final int STREAMS = 24;

  private TestWorld world;

  @BeforeEach
  void startWorld() {
    EngineOptions paced =
        EngineOptions.instant(TestWorld.MODEL)
            .withAnswerTokens(TestWorld.ANSWER_TOKENS)
            .withTokenIntervalMs(100)
            .withSlots(32);
    world = new TestWorld(paced, 2, true);
  }

  @AfterEach
  void closeWorld() {
    world.close();
  }

  /** Guards against streams that are cut when one of two daemons stops under load. */
  @Test
  void streamsOfADaemonThatStopsUnderLoadAllFinish() throws Exception {
    Daemon stopping = world.startDaemon("vm-1");
    Daemon staying = world.startDaemon("vm-2");
    world.awaitMembership();
    List<CompletableFuture<Caller.Reply>> streams = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Caller caller = TestWorld.caller(i % 2 == 0 ? stopping : staying);
      streams.add(caller.turnLater(caller.startProgram(), "a long answer", 0));
    }
    Await.until(
        "all streams run",
        () -> world.engine(0).runningCalls() + world.engine(1).runningCalls() == STREAMS);
    Future<StopReport> report = stopping.stop();
    for (CompletableFuture<Caller.Reply> stream : streams) {
      Caller.Reply reply = stream.get();
      assertTrue(reply.text().contains("\"outcome\":\"done\""), reply.text());
    }
    assertEquals(StopReport.EXIT_OK, Await.result(report).exitCode());
    String program = TestWorld.caller(staying).startProgram();
    Caller.Reply after = TestWorld.caller(staying).turn(program, "after the stop", false);
    assertEquals("done", after.outcome(), after.text());
  }

  /** Guards against work that a stopping daemon takes and cannot finish (G6). */
  @Test
  void aRequestDuringTheStopIsRefusedAsNotRunWithRetryAfter() throws Exception {
    Daemon daemon = world.startDaemon("vm-1");
    Caller caller = TestWorld.caller(daemon);
    CompletableFuture<Caller.Reply> stream =
        caller.turnLater(caller.startProgram(), "a long answer", 0);
    Await.until(
        "the stream runs",
        () -> world.engine(0).runningCalls() + world.engine(1).runningCalls() == 1);
    Future<StopReport> report = daemon.stop();
    Await.until("the stop began", () -> daemon.readiness().phase() == Readiness.Phase.STOPPING);
    Caller.Reply refused = caller.post("/v1/programs", new JsonObject());
    assertEquals("stopping", refused.code());
    assertEquals("not_run", refused.outcome());
    assertEquals("1", refused.retryAfter());
    assertEquals(503, caller.get("/readyz").status());
    assertTrue(stream.get().text().contains("\"outcome\":\"done\""));
    assertEquals(StopReport.EXIT_OK, Await.result(report).exitCode());
  }
}
