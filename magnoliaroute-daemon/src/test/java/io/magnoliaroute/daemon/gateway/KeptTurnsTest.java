package io.magnoliaroute.daemon.gateway;

import static io.magnoliaroute.daemon.gateway.KeptTurnsEnvironment.OUTPUT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinConfiguration;
import io.magnoliaroute.standin.users.StandinEndpoint.Behaviour;
import io.magnoliaroute.standin.users.StandinStore.Fault;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Sends chains of turns through real VMs. Guards against chains that are assembled wrongly, against
 * turns that are lost with a VM or during an outage of the store, and against a 404 without proof.
 */
@DisplayName("A route whose turns the system keeps")
class KeptTurnsTest {

  private KeptTurnsEnvironment environment;

  @AfterEach
  void stop() {
    environment.close();
  }

  private void sendChain(int firstVm, int secondVm) {
    assertEquals(200, environment.send(firstVm, "t1", "one "));
    assertEquals(200, environment.sendAfter(secondVm, "t2", "t1", "two "));
    assertEquals(200, environment.sendAfter(firstVm, "t3", "t2", "three "));
    assertEquals(List.of("one "), environment.bodiesOf("t1"));
    assertEquals(List.of("one " + OUTPUT + "two "), environment.bodiesOf("t2"));
    assertEquals(List.of("one " + OUTPUT + "two " + OUTPUT + "three "), environment.bodiesOf("t3"));
  }

  /** Guards against a body that differs from the inputs and outputs of the chain in any byte. */
  @Test
  @DisplayName("assembles a chain of three turns at one VM")
  void chainAtOneVm() {
    environment = new KeptTurnsEnvironment(1);

    sendChain(0, 0);
  }

  /** Guards against turns that only the VM that served them knows. */
  @Test
  @DisplayName("assembles a chain whose turns were served by two VMs")
  void chainOverTwoVms() {
    environment = new KeptTurnsEnvironment(2);

    sendChain(0, 1);
  }

  /** Guards against a continuation that replaces or extends its predecessor's record. */
  @Test
  @DisplayName("serves two continuations of one turn")
  void twoContinuations() {
    environment = new KeptTurnsEnvironment(2);
    environment.send(0, "t1", "one ");

    assertEquals(200, environment.sendAfter(0, "t2a", "t1", "left "));
    assertEquals(200, environment.sendAfter(1, "t2b", "t1", "right "));
    assertEquals(200, environment.sendAfter(0, "t3", "t2b", "three "));

    assertEquals(
        List.of("one " + OUTPUT + "right " + OUTPUT + "three "), environment.bodiesOf("t3"));
  }

  /** Guards against an attempt after a broken one that gets the new input alone. */
  @Test
  @DisplayName("sends the assembled body again when an attempt breaks, and keeps each event once")
  void brokenAttempt() {
    environment = new KeptTurnsEnvironment(1);
    environment.send(0, "t1", "one ");
    environment.endpoint().addBehaviour(Behaviour.BREAKS_MID_EVENT);

    assertEquals(200, environment.sendAfter(0, "t2", "t1", "two "));
    assertEquals(200, environment.sendAfter(0, "t3", "t2", "three "));

    String second = "one " + OUTPUT + "two ";
    assertEquals(List.of(second, second), environment.bodiesOf("t2"));
    assertEquals(List.of(second + OUTPUT + "three "), environment.bodiesOf("t3"));
  }

  /** Guards against turns of one workspace that another one can read. */
  @Test
  @DisplayName("responds with 404 to a turn of another workspace")
  void otherWorkspace() {
    environment = new KeptTurnsEnvironment(2);
    environment.store().put("keyed.op", "config", StandinConfiguration.jsonWithWorkspaces(4));
    Map<String, String> red = Map.of("Authorization", "Bearer red");
    Await.until("the keys are known", () -> environment.send(0, "none", "x") == 401);
    Await.until("the keys are known", () -> environment.send(1, "none", "x") == 401);
    assertEquals(200, environment.send(0, "t1", "one ", red));

    Map<String, String> blueAfter = Map.of("Authorization", "Bearer blue", "X-Previous-Turn", "t1");
    Map<String, String> redAfter = Map.of("Authorization", "Bearer red", "X-Previous-Turn", "t1");
    assertEquals(404, environment.send(0, "t2", "two ", blueAfter));
    assertEquals(404, environment.send(1, "t2", "two ", blueAfter));
    assertEquals(200, environment.send(1, "t2", "two ", redAfter));
  }

  /** Guards against a 503 that clients repeat for ever, although the turn cannot exist. */
  @Test
  @DisplayName("responds with 404 to a turn that never existed, once every VM has said so")
  void neverExisted() {
    environment = new KeptTurnsEnvironment(2);

    assertEquals(404, environment.sendAfter(0, "t2", "t1", "two "));
    assertEquals(List.of(), environment.bodiesOf("t2"));
  }

  /** Guards against a 404 by VMs that may have forgotten the turn. */
  @Test
  @DisplayName("responds with 503 to an unknown turn after all VMs were restarted")
  void notProvenAfterRestart() {
    environment = new KeptTurnsEnvironment(2);
    environment.restartAll();

    assertEquals(503, environment.sendAfter(0, "t2", "t1", "two "));
  }

  /** Guards against a 404 while the store cannot be read. */
  @Test
  @DisplayName("responds with 503 to an unknown turn while the store refuses calls")
  void notProvenWithoutStore() {
    environment = new KeptTurnsEnvironment(2);
    environment.store().setFault(Fault.DOWN);

    assertEquals(503, environment.sendAfter(0, "t2", "t1", "two "));
  }

  /** Guards against a 404 while a VM cannot be asked that may hold the turn. */
  @Test
  @DisplayName("responds with 503 to an unknown turn while a VM does not reply")
  void notProvenWithoutVm() {
    environment = new KeptTurnsEnvironment(3);
    environment.kill(2);

    assertEquals(503, environment.sendAfter(0, "t2", "t1", "two "));
  }

  /** Guards against a 404 for turns that only VMs held that were killed and started again. */
  @Test
  @DisplayName("responds with 503 to an unknown turn after any VM was killed and started again")
  void notProvenAfterOneVmWasKilled() {
    environment = new KeptTurnsEnvironment(3);
    environment.kill(2);
    environment.restart(2);

    for (int vm = 0; vm < 3; vm++) {
      assertEquals(503, environment.sendAfter(vm, "t" + vm, "none", "two "), "at VM " + vm);
    }
  }

  /** Guards against a 404 for turns held by VMs whose addresses and names others then took over. */
  @Test
  @DisplayName("responds with 503 while a VM is gone that had left the list with unstored records")
  void notProvenWithoutDepartedVm() {
    environment = new KeptTurnsEnvironment(3);
    assertEquals(404, environment.sendAfter(0, "t1", "none", "two "));
    environment.kill(2);
    environment.store().put("keyed.vms", "vm-2", "");
    Await.until("VM 2 has left the list", () -> environment.knownVms(0) == 2);

    assertEquals(503, environment.sendAfter(0, "t2", "none", "two "));
  }

  /** Guards against clients that are sent away for a minute after each planned restart. */
  @Test
  @DisplayName(
      "responds with 404 to an unknown turn after all VMs were stopped and started in turn")
  void provenAfterPlannedRestarts() {
    environment = new KeptTurnsEnvironment(3);
    for (int vm = 0; vm < 3; vm++) {
      environment.stopGracefully(vm);
      environment.restart(vm);
    }

    for (int vm = 0; vm < 3; vm++) {
      int asking = vm;
      Await.until(
          "VM " + vm + " reaches the others",
          () -> environment.sendAfter(asking, "t" + asking, "none", "two ") == 404);
    }
  }

  /** Guards against a stop in an outage after which the lost records are not missed. */
  @Test
  @DisplayName("responds with 503 to an unknown turn after a VM stopped with unstored records")
  void notProvenAfterUnstoredStop() {
    environment = new KeptTurnsEnvironment(1);
    environment.store().setFault(Fault.SILENT);
    assertEquals(200, environment.send(0, "t1", "one "));
    environment.stopGracefully(0);
    environment.store().setFault(Fault.NONE);
    environment.restart(0);

    assertEquals(503, environment.sendAfter(0, "t2", "t1", "two "));
  }

  /** Guards against turns that are in memory only. */
  @Test
  @DisplayName("continues a chain after all VMs were killed")
  void allRestarted() {
    environment = new KeptTurnsEnvironment(2);
    sendChain(0, 1);
    environment.restartAll();

    assertEquals(200, environment.sendAfter(1, "t4", "t3", "four "));
    assertEquals(
        List.of("one " + OUTPUT + "two " + OUTPUT + "three " + OUTPUT + "four "),
        environment.bodiesOf("t4"));
  }

  /** Guards against a chain that depends on the VM that served it. */
  @Test
  @DisplayName("continues a chain after the VM that served it was killed")
  void serverKilled() {
    environment = new KeptTurnsEnvironment(3);
    environment.send(0, "t1", "one ");
    environment.sendAfter(0, "t2", "t1", "two ");
    environment.kill(0);

    Await.until(
        "the chain is continued", () -> environment.sendAfter(1, "t3", "t2", "three ") == 200);
    assertEquals(List.of("one " + OUTPUT + "two " + OUTPUT + "three "), environment.bodiesOf("t3"));
  }

  /** Guards against turns that end during an outage and are lost with the VM that served them. */
  @Test
  @DisplayName("continues a turn that ended while the store was away, after its VM was killed")
  void storeAwayAndServerKilled() {
    environment = new KeptTurnsEnvironment(3);
    environment.store().setFault(Fault.DOWN);
    assertEquals(200, environment.send(0, "t1", "one "));
    assertEquals(0, environment.storedRecords());
    environment.kill(0);

    Await.until("the turn is continued", () -> environment.sendAfter(1, "t2", "t1", "two ") == 200);
    assertEquals(List.of("one " + OUTPUT + "two "), environment.bodiesOf("t2"));
  }

  /** Guards against records that stay in memory when the store is back. */
  @Test
  @DisplayName("stores turns that ended while the store was away, and survives a restart then")
  void storedAfterOutage() {
    environment = new KeptTurnsEnvironment(3);
    environment.store().setFault(Fault.SILENT);
    assertEquals(200, environment.send(0, "t1", "one "));
    environment.kill(0);
    environment.store().setFault(Fault.NONE);
    Await.until("a home VM has stored the turn", () -> environment.storedRecords() > 0);
    environment.restartAll();

    assertEquals(200, environment.sendAfter(1, "t2", "t1", "two "));
    assertEquals(List.of("one " + OUTPUT + "two "), environment.bodiesOf("t2"));
  }

  /**
   * Guards against a response that waits for a lost answer of the store, or a turn that is lost.
   */
  @Test
  @DisplayName("keeps a turn whose append succeeds although its answer is lost")
  void lostAppendResponse() {
    environment = new KeptTurnsEnvironment(2);
    environment.store().setFault(Fault.ANSWERS_LOST);
    assertEquals(200, environment.send(0, "t1", "one "));
    assertTrue(environment.storedRecords() > 0, "the record is in the store");
    environment.store().setFault(Fault.NONE);
    environment.restartAll();

    assertEquals(200, environment.sendAfter(1, "t2", "t1", "two "));
    assertEquals(List.of("one " + OUTPUT + "two "), environment.bodiesOf("t2"));
  }

  /** Guards against chains that store the same leading part with each of their first turns. */
  @Test
  @DisplayName("stores a shared part once and assembles chains that begin with it")
  void sharedPart() {
    environment = new KeptTurnsEnvironment(4);
    String shared = "s".repeat(9_000);
    Map<String, String> prefix = Map.of("X-Prompt-Prefix", "system:9000,own:1000");
    assertEquals(200, environment.send(0, "t0", shared + "a".repeat(1_000), prefix));
    Await.until("the part is stored", () -> environment.storedRecords() >= 2);
    int storedBefore = environment.storedRecords();

    // Two of the VMs are no home of the part and have to ask for it.
    for (int vm = 1; vm < 4; vm++) {
      assertEquals(200, environment.send(vm, "t" + vm, shared + "b".repeat(1_000), prefix));
      assertEquals(storedBefore + vm, environment.storedRecords());
    }
    environment.restartAll();
    assertEquals(200, environment.sendAfter(0, "t4", "t1", "two "));
    assertEquals(List.of(shared + "b".repeat(1_000) + OUTPUT + "two "), environment.bodiesOf("t4"));
  }

  /** Guards against a turn that counts although its client never got the end of the response. */
  @Test
  @DisplayName("keeps no turn whose response broke off")
  void brokenOffTurn() {
    environment = new KeptTurnsEnvironment(2);
    for (int i = 0; i < 20; i++) {
      environment.endpoint().addBehaviour(Behaviour.FAILS);
    }
    assertEquals(500, environment.send(0, "t1", "one "));
    environment.endpoint().clearBehaviours();

    assertEquals(404, environment.sendAfter(0, "t2", "t1", "two "));
  }

  /** Guards against a resumed stream that is kept without the output before the resumption. */
  @Test
  @DisplayName("refuses to resume a stream of which this VM does not have the begin")
  void resumedElsewhere() {
    environment = new KeptTurnsEnvironment(1);

    assertEquals(503, environment.send(0, "t1", "one ", Map.of("Last-Event-Id", "3")));
  }

  /** Guards against a resumed turn that lacks the events its first response delivered. */
  @Test
  @DisplayName("keeps the whole output of a turn that was interrupted and resumed at the same VM")
  void resumedHere() {
    environment = new KeptTurnsEnvironment(1);
    environment.endpoint().addBehaviour(Behaviour.STOPS_MID_STREAM);
    environment.disconnectAfterEvent(0, "t1", "one ", 3);

    Map<String, String> resumes = Map.of("Last-Event-Id", "2", "Resumes", "t1");
    assertEquals(200, environment.send(0, "t1b", "one ", resumes));
    assertEquals(200, environment.sendAfter(0, "t2", "t1b", "two "));
    assertEquals(List.of("one " + OUTPUT + "two "), environment.bodiesOf("t2"));
  }

  /** Guards against records that are handed to VMs that do not reply, and to nobody else. */
  @Test
  @DisplayName("keeps a turn at the next VM when a home VM does not reply and the store is away")
  void homeVmPaused() {
    environment = new KeptTurnsEnvironment(4);
    Runnable resume = environment.pause(3);
    environment.store().setFault(Fault.DOWN);
    for (int i = 0; i < 4; i++) {
      assertEquals(200, environment.send(0, "t" + i, "one "));
    }
    environment.kill(0);
    resume.run();
    for (int i = 0; i < 4; i++) {
      String turn = "t" + i;
      Await.until(
          "the turn is continued",
          () -> environment.sendAfter(1, "next-" + turn, turn, "two ") == 200);
    }
  }

  /** Guards against a response that never ends because a single VM has no store. */
  @Test
  @DisplayName("ends a turn after a bounded time when neither store nor other VMs are there")
  void singleVmWithoutStore() {
    environment = new KeptTurnsEnvironment(1);
    environment.store().setFault(Fault.SILENT);

    assertEquals(200, environment.send(0, "t1", "one "));
    assertEquals(200, environment.sendAfter(0, "t2", "t1", "two "));
    assertEquals(List.of("one " + OUTPUT + "two "), environment.bodiesOf("t2"));
    assertEquals(2, environment.counted(0, "unstored"));
    environment.store().setFault(Fault.NONE);
    Await.until("both turns are stored", () -> environment.storedRecords() >= 2);
  }

  /** Guards against records that are lost with VMs that stop one after the other in an outage. */
  @Test
  @DisplayName("hands records to the remaining VMs when a VM stops while the store is away")
  void stopsWithoutStore() {
    environment = new KeptTurnsEnvironment(4);
    environment.store().setFault(Fault.DOWN);
    for (int i = 0; i < 4; i++) {
      assertEquals(200, environment.send(0, "t" + i, "one "));
    }
    environment.kill(0);
    environment.stopGracefully(1);
    environment.kill(2);

    for (int i = 0; i < 4; i++) {
      String turn = "t" + i;
      Await.until(
          "the turn is continued",
          () -> environment.sendAfter(3, "next-" + turn, turn, "two ") == 200);
    }
  }
}
