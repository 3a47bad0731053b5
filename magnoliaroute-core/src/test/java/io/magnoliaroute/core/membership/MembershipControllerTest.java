package io.magnoliaroute.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.membership.SimulatedNetwork.Host;
import io.magnoliaroute.core.model.VmId;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MembershipControllerTest {

  private static final long SEED = 11;
  private static final long START_LIMIT_MS = 10_000;

  private SimulatedNetwork network;
  private Host first;
  private Host second;

  @BeforeEach
  void startThreeDataCentres() {
    network = new SimulatedNetwork(SEED, 3, 3);
    network.runUntil(network::isConverged, START_LIMIT_MS, "convergence from a cold start");
    List<Host> hosts = network.running();
    first = hosts.get(0);
    second = hosts.get(1);
  }

  @Nested
  final class WhenAVmCrashes {

    /** Guards against a crash that some VM does not detect while messages are lost. */
    @Test
    void allVmsDetectItWithinTheBoundDespiteMessageLoss() {
      network.lossRate = 0.1;
      second.running = false;
      network.run(network.crashBoundMs());
      for (Host observer : network.running()) {
        assertEquals(MemberState.DEAD, observer.stateOf(second.info.vm()), SEED + "");
      }
    }

    /** Guards against a table that grows without bound as VMs are replaced. */
    @Test
    void itIsEvictedAfterTheRetentionTimeAndNotAddedAgain() {
      second.running = false;
      network.run(SimulatedNetwork.SETTINGS.deadRetentionMs() + 2 * network.crashBoundMs());
      for (Host observer : network.running()) {
        assertTrue(observer.controller.view().member(second.info.vm()).isEmpty());
      }
    }

    /** Guards against a restarted VM that stays dead because it starts with a lower incarnation. */
    @Test
    void aVmRestartedWithALowerIncarnationBecomesAlive() {
      second.running = false;
      network.run(network.crashBoundMs());
      network.start(second);
      second.controller =
          new MembershipController(
              second.info, 1, SimulatedNetwork.SETTINGS, network.random, network.nowMs);
      second.controller.addSeed(first.info.vm(), first.info.address());
      network.runUntil(
          network::isConverged, network.healBoundMs(), "convergence after the restart");
    }
  }

  @Nested
  final class WhenLinksFail {

    /** Guards against a VM that is declared dead although other VMs reach it in both directions. */
    @Test
    void bothVmsStayAliveWhenOneLinkIsCutInOneDirection() {
      network.setLink(first, second, false);
      for (int i = 0; i < 600; i++) {
        network.step();
        assertTrue(network.isConverged(), () -> network.describeDifferences());
      }
    }

    /** Guards against data centres that do not rediscover each other after a partition heals. */
    @Test
    void viewsConvergeWithinTheBoundAfterAPartitionHeals() {
      network.partition("dc-0");
      network.run(60_000);
      assertFalse(network.isConverged());
      network.clearFaults();
      network.runUntil(network::isConverged, network.healBoundMs(), "convergence after healing");
    }
  }

  @Nested
  final class WhenTheVmItselfIsPaused {

    /** Guards against writes under claims that another VM has taken over during the pause. */
    @Test
    void aLongPauseStartsANewIncarnationAndIsReported() {
      long previousIncarnation = first.controller.view().selfIncarnation();
      first.events.clear();
      first.pausedUntilMs = network.nowMs + SimulatedNetwork.SETTINGS.suspicionMs() + 500;
      network.run(4_000);
      assertTrue(
          first.events.stream().anyMatch(MembershipEvent.LocalPauseDetected.class::isInstance));
      assertTrue(first.controller.view().selfIncarnation() > previousIncarnation);
    }

    /**
     * Guards against a VM that suspects its peers because it was paused when their acks arrived.
     */
    @Test
    void itDoesNotSuspectOtherVmsAfterwards() {
      first.events.clear();
      for (long pauseMs = 300; pauseMs <= 10_000; pauseMs += 300) {
        first.pausedUntilMs = network.nowMs + pauseMs;
        network.run(pauseMs + 2_000);
        assertFalse(
            first.events.stream().anyMatch(MembershipEvent.StateChanged.class::isInstance),
            () -> first.events.toString());
      }
    }
  }

  /** Guards against a suspicion that expires while the VM cannot receive the refutation. */
  @Test
  void aPauseExtendsSuspicionsByItsDuration() {
    MemberInfo peer = SimulatedNetwork.info("vm-8", "dc-0");
    MemberInfo suspect = SimulatedNetwork.info("vm-9", "dc-0");
    MembershipController controller =
        new MembershipController(
            SimulatedNetwork.info("vm-7", "dc-0"), 1, SimulatedNetwork.SETTINGS, new Random(1), 0);
    MemberDelta sender = new MemberDelta(peer, 1, MemberState.ALIVE);
    MemberDelta suspicion = new MemberDelta(suspect, 1, MemberState.SUSPECT);
    Gossip gossip = new Gossip(sender, 0, 0, 0, List.of(suspicion));
    controller.receive(peer.vm(), new MembershipMessage.Ack(1, gossip), 0);
    controller.tick(2_500);
    assertEquals(MemberState.SUSPECT, controller.view().member(suspect.vm()).orElseThrow().state());
    for (long nowMs = 2_600; nowMs <= 4_500; nowMs += MembershipController.TICK_MS) {
      controller.tick(nowMs);
    }
    assertEquals(MemberState.DEAD, controller.view().member(suspect.vm()).orElseThrow().state());
  }

  /** Guards against a clock set back that stops the probes until it reaches its earlier reading. */
  @Test
  void settingTheClockBackDoesNotStopProbes() {
    network = new SimulatedNetwork(SEED, 1, 2);
    network.runUntil(network::isConverged, START_LIMIT_MS, "convergence from a cold start");
    Host observer = network.running().get(0);
    Host crashed = network.running().get(1);
    observer.clockOffsetMs = -3_600_000;
    crashed.running = false;
    network.run(network.crashBoundMs());
    assertEquals(MemberState.DEAD, observer.stateOf(crashed.info.vm()));
  }

  @Nested
  final class WhenThePlatformListLags {

    /** Guards against a platform list that makes a VM dead although it answers probes. */
    @Test
    void aVmThatIsNotListedStaysAlive() {
      network.running().forEach(host -> host.controller.applyPlatformList(list(1), 0));
      network.run(10_000);
      assertTrue(network.isConverged(), () -> network.describeDifferences());
    }

    /** Guards against a leaving mark that is cleared by an older platform list. */
    @Test
    void aLeavingMarkStaysUntilANewerListClearsIt() {
      first.controller.applyPlatformList(list(5, leaving(second, true)), network.nowMs);
      network.run(5_000);
      network
          .running()
          .forEach(
              host ->
                  host.controller.applyPlatformList(
                      list(4, leaving(second, false)), network.nowMs));
      network.run(5_000);
      assertStateEverywhere(MemberState.LEAVING, second.info.vm());
      assertTrue(second.events.contains(new MembershipEvent.LocalVmMarkedLeaving()));
      second.controller.applyPlatformList(list(6, leaving(second, false)), network.nowMs);
      network.run(5_000);
      assertStateEverywhere(MemberState.ALIVE, second.info.vm());
      first.controller.applyPlatformList(list(5, leaving(second, true)), network.nowMs);
      assertEquals(MemberState.ALIVE, first.stateOf(second.info.vm()));
    }
  }

  @Nested
  final class WhenAVmStops {

    /** Guards against a stopping VM that still owns state or remains suspect for seconds. */
    @Test
    void leavingAndDeadStatesReachAllVmsWithin1500Ms() {
      network.send(second.info.vm(), second.controller.leave(network.nowMs));
      network.run(1_500);
      assertStateEverywhere(MemberState.LEAVING, second.info.vm());
      assertFalse(first.controller.view().owners().contains(second.info.vm()));
      network.send(second.info.vm(), second.controller.stop(network.nowMs));
      second.running = false;
      network.run(1_500);
      assertStateEverywhere(MemberState.DEAD, second.info.vm());
    }
  }

  /** Guards against evicted VMs that are added again as dead from tables that still list them. */
  @Test
  void aDeadReportAboutAnUnknownVmIsIgnored() {
    MemberTable table = new MemberTable(SimulatedNetwork.SETTINGS.suspicionMs());
    MemberInfo unknown = SimulatedNetwork.info("vm-9", "dc-0");
    assertFalse(table.merge(new MemberDelta(unknown, 1, MemberState.DEAD), 0));
    assertEquals(0, table.size());
  }

  /** Guards against changes that are gossiped forever, and messages that grow with the queue. */
  @Test
  void deltasAreLimitedPerMessageAndSentALimitedNumberOfTimes() {
    DeltaQueue queue = new DeltaQueue();
    for (int i = 0; i < 100; i++) {
      queue.add(new VmId("vm-" + i));
    }
    int sends = 0;
    for (List<VmId> taken = queue.take(12, 5); !taken.isEmpty(); taken = queue.take(12, 5)) {
      assertTrue(taken.size() <= 12);
      sends += taken.size();
    }
    assertEquals(500, sends);
  }

  /** Guards against a newer settings version that does not reach every VM. */
  @Test
  void aNewerSettingsVersionIsReportedByEveryOtherVm() {
    network.running().forEach(host -> host.events.clear());
    first.controller.setConfigVersion(9);
    network.run(5_000);
    for (Host host : network.running()) {
      boolean reported =
          host.events.stream().anyMatch(MembershipEvent.NewerConfigReported.class::isInstance);
      assertEquals(host == first, !reported);
    }
  }

  private void assertStateEverywhere(MemberState expected, VmId vm) {
    for (Host observer : network.running()) {
      assertEquals(expected, observer.stateOf(vm), observer.info.vm()::value);
    }
  }

  private static PlatformList list(long version, PlatformList.PlatformVm... vms) {
    return new PlatformList(version, List.of(vms));
  }

  private static PlatformList.PlatformVm leaving(Host host, boolean leaving) {
    return new PlatformList.PlatformVm(host.info.vm(), host.info.address(), leaving);
  }
}
