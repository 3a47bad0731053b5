package io.magnoliaroute.core.schedule;

import static io.magnoliaroute.core.schedule.SchedulerFixture.RATION;
import static io.magnoliaroute.core.schedule.SchedulerFixture.call;
import static io.magnoliaroute.core.schedule.SchedulerFixture.completed;
import static io.magnoliaroute.core.schedule.SchedulerFixture.ended;
import static io.magnoliaroute.core.schedule.SchedulerFixture.endpoint;
import static io.magnoliaroute.core.schedule.SchedulerFixture.id;
import static io.magnoliaroute.core.schedule.SchedulerFixture.scheduler;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class GroupSchedulerTest {

  private final GroupScheduler scheduler = scheduler(endpoint("e0", 2, 1));

  private List<String> dispatchedPrograms(long nowMs) {
    return scheduler.dispatch(nowMs).stream().map(g -> g.call().program().value()).toList();
  }

  @Nested
  final class OrderOfService {

    /** Guards against grants of reserved urgent slots to normal calls. */
    @Test
    void reservedSlotsAreGrantedToUrgentCallsOnly() {
      scheduler.offer(call("a", PriorityClass.NORMAL), 0);
      scheduler.offer(call("b", PriorityClass.NORMAL), 0);
      assertEquals(List.of("a"), dispatchedPrograms(0));
      scheduler.offer(call("alarm", PriorityClass.URGENT), 1);
      assertEquals(List.of("alarm"), dispatchedPrograms(1));
    }

    /** Guards against an urgent call that waits behind normal and bulk calls offered earlier. */
    @Test
    void classesAreServedInOrder() {
      scheduler.offer(call("bulk", PriorityClass.BULK), 0);
      scheduler.offer(call("normal", PriorityClass.NORMAL), 0);
      scheduler.offer(call("urgent", PriorityClass.URGENT), 0);
      assertEquals(List.of("urgent", "normal"), dispatchedPrograms(1));
    }

    /** Guards against a program with much attained service that delays new programs. */
    @Test
    void leastAttainedProgramIsServedFirst() {
      scheduler.offer(call("long").attainedServiceUnits(5_000).underWay(true).build(), 0);
      scheduler.offer(call("new").build(), 10);
      assertEquals(List.of("new"), dispatchedPrograms(10));
    }

    /**
     * Guards against a sub-agent whose call is served early because only its own attained service
     * counts, not that of its root program.
     */
    @Test
    void serviceOfSubAgentsCountsTowardsTheirRootProgram() {
      ProgramId root = new ProgramId("root");
      scheduler.offer(call("child-1").rootProgram(root).build(), 0);
      SlotGrant grant = scheduler.dispatch(0).get(0);
      scheduler.release(
          id("child-1"),
          new CallResult(grant.grantId(), CallEnding.COMPLETED, 0, 50, 4_000, 9_000),
          9_000);
      scheduler.offer(call("child-2").rootProgram(root).times(9_000, 600_000).build(), 9_000);
      scheduler.offer(call("other").times(9_001, 600_000).build(), 9_001);
      assertEquals(List.of("other"), dispatchedPrograms(9_001));
    }

    /** Guards against starvation of a call by later calls with less attained service. */
    @Test
    void callPastTheAgeingBoundIsServedFirstInItsClass() {
      scheduler.offer(call("old").attainedServiceUnits(90_000).underWay(true).build(), 0);
      scheduler.offer(call("new").times(29_999, 600_000).build(), 29_999);
      assertEquals(List.of("old"), dispatchedPrograms(30_000));
    }

    /** Guards against starvation of an aged call by calls of higher classes in unreserved slots. */
    @Test
    void oneInEightDispatchesIsGrantedToAnAgedCallOfALowerClass() {
      GroupScheduler largeScheduler = scheduler(endpoint("e0", 32, 1));
      largeScheduler.offer(call("bulk", PriorityClass.BULK), 0);
      for (int i = 0; i < 16; i++) {
        largeScheduler.offer(call("normal" + i).times(30_000, 600_000).build(), 30_000);
      }
      List<SlotGrant> grants = largeScheduler.dispatch(30_000);
      assertEquals("bulk", grants.get(7).call().program().value());
    }

    /** Guards against a team with many calls that takes all slots of another team of its class. */
    @Test
    void teamsShareTheSlotsOfTheirClass() {
      GroupScheduler largeScheduler = scheduler(endpoint("e0", 65, 1));
      for (int i = 0; i < 200; i++) {
        largeScheduler.offer(call("a" + i, "flooding").build(), 0);
      }
      for (int i = 0; i < 32; i++) {
        largeScheduler.offer(call("b" + i, "calm").build(), 1);
      }
      long calm =
          largeScheduler.dispatch(1).stream()
              .filter(g -> g.call().program().value().startsWith("b"))
              .count();
      assertTrue(calm >= 20, () -> "slots of the calm team: " + calm);
    }
  }

  @Nested
  final class UrgentRation {

    /** Guards against a team that bypasses the other teams by marking all its calls urgent. */
    @Test
    void callExceedingTheRationIsDemotedToNormalAndCounted() {
      scheduler.offer(call("u1", PriorityClass.URGENT), 0);
      scheduler.offer(call("u2", PriorityClass.URGENT), 0);
      assertEquals(
          new AdmissionDecision.Accepted(true),
          scheduler.offer(call("u3", PriorityClass.URGENT), 0));
      assertEquals(1, scheduler.counters().urgentDemoted());
      assertEquals(List.of("u1", "u2"), dispatchedPrograms(0));
    }

    /**
     * Guards against a ration that is never refilled, and against a refill without any elapsed
     * time.
     */
    @Test
    void rationIsRefilledOnlyAsTimePasses() {
      for (int i = 0; i < RATION.burstCalls(); i++) {
        scheduler.offer(call("u" + i, PriorityClass.URGENT), 5_000);
      }
      assertEquals(
          new AdmissionDecision.Accepted(true),
          scheduler.offer(call("same-time", PriorityClass.URGENT), 5_000));
      assertEquals(
          new AdmissionDecision.Accepted(false),
          scheduler.offer(call("later", PriorityClass.URGENT), 6_000));
    }

    /** Guards against a team that uses up the ration of another team. */
    @Test
    void rationsOfTeamsAreIndependent() {
      for (int i = 0; i < 10; i++) {
        scheduler.offer(call("f" + i, "flooding").priority(PriorityClass.URGENT).build(), 0);
      }
      assertEquals(
          new AdmissionDecision.Accepted(false),
          scheduler.offer(call("c", "calm").priority(PriorityClass.URGENT).build(), 0));
    }
  }

  @Nested
  final class Admission {

    private void fill(PriorityClass priority, int programs) {
      for (int i = 0; i < programs; i++) {
        scheduler.offer(call(priority + "-" + i, priority), 0);
      }
    }

    private AdmissionDecision offer(String name, PriorityClass priority, boolean underWay) {
      return scheduler.offer(
          call(name).priority(priority).times(0, 60_000).underWay(underWay).build(), 0);
    }

    /** Guards against acceptance of a program that is predicted to miss its deadline. */
    @Test
    void newProgramThatWouldMissItsDeadlineIsRefusedWithARetryDelay() {
      fill(PriorityClass.NORMAL, 100);
      AdmissionDecision.Refused refused =
          assertInstanceOf(
              AdmissionDecision.Refused.class, offer("new", PriorityClass.NORMAL, false));
      assertEquals(RefusalReason.DEADLINE_UNREACHABLE, refused.reason());
      assertTrue(refused.retryAfterMs() > 0);
    }

    /** Guards against refusal of a program under way, whose earlier work would be lost. */
    @Test
    void programUnderWayIsAcceptedWhenANewOneIsRefused() {
      fill(PriorityClass.NORMAL, 100);
      assertTrue(offer("running", PriorityClass.NORMAL, true).isAccepted());
    }

    /** Guards against acceptance of bulk calls at a load at which higher classes are refused. */
    @Test
    void lowestClassIsRefusedFirst() {
      fill(PriorityClass.NORMAL, 100);
      assertFalse(offer("bulk", PriorityClass.BULK, false).isAccepted());
      assertTrue(offer("urgent", PriorityClass.URGENT, false).isAccepted());
    }

    /**
     * Guards against an idle group that refuses a short deadline because the usual run time of
     * programs exceeds it.
     */
    @Test
    void idleGroupAcceptsAShortDeadline() {
      assertTrue(scheduler.offer(call("brief").times(0, 20_000).build(), 0).isAccepted());
    }

    /**
     * Guards against acceptance of a call after its deadline, and against overflow in the
     * computation of the time to the deadline.
     */
    @Test
    void pastDeadlineIsRefused() {
      for (long deadlineMs : new long[] {Long.MIN_VALUE, 0, 10}) {
        WaitingCall late = call("late").times(0, deadlineMs).underWay(true).build();
        assertFalse(scheduler.offer(late, 10).isAccepted());
      }
    }

    /**
     * Guards against programs whose end is never reported and that count as backlog indefinitely.
     */
    @Test
    void programWithoutOpenCallsLapses() {
      scheduler.offer(call("a").build(), 0);
      scheduler.cancel(id("a"), 0);
      scheduler.dispatch(119_999);
      assertEquals(1, scheduler.programCount());
      scheduler.dispatch(121_000);
      assertEquals(0, scheduler.programCount());
    }

    /** Guards against an accepted call that is dropped when its deadline passes while it waits. */
    @Test
    void acceptedCallIsGrantedEvenAfterItsDeadline() {
      scheduler.offer(call("brief").times(0, 20_000).build(), 0);
      assertEquals(List.of("brief"), dispatchedPrograms(25_000));
    }
  }

  @Nested
  final class UnexpectedInput {

    private SlotGrant grantFor(String name) {
      scheduler.offer(call(name).build(), 0);
      return scheduler.dispatch(0).get(0);
    }

    /** Guards against two grants for a call that is offered twice. */
    @Test
    void sameCallIsRefusedWhileItWaitsAndWhileItRuns() {
      scheduler.offer(call("a").build(), 0);
      assertFalse(scheduler.offer(call("a").build(), 0).isAccepted());
      scheduler.dispatch(0);
      assertFalse(scheduler.offer(call("a").build(), 0).isAccepted());
    }

    /** Guards against a repeated release that frees a second slot. */
    @Test
    void repeatedReleaseIsIgnored() {
      SlotGrant grant = grantFor("a");
      scheduler.release(id("a"), completed(grant), 10);
      scheduler.release(id("a"), completed(grant), 10);
      scheduler.offer(call("b").build(), 20);
      scheduler.offer(call("c").build(), 20);
      assertEquals(1, scheduler.dispatch(20).size());
    }

    /**
     * Guards against an exception or a freed slot on a message about a call that this owner never
     * granted.
     */
    @Test
    void releaseAndObservationOfUnknownCallsAreIgnored() {
      SlotGrant grant = grantFor("a");
      scheduler.release(id("unknown"), completed(grant), 10);
      scheduler.observe(id("unknown"), new CallObservation(99, 5, 1, 0), 10);
      assertEquals(1, scheduler.outstanding(grant.endpoint()));
    }

    /**
     * Guards against slots that remain in use or are freed twice when an endpoint is removed and
     * added again.
     */
    @Test
    void callsOfARemovedEndpointStayCountedUntilTheyAreReleased() {
      SlotGrant grant = grantFor("a");
      scheduler.removeEndpoint(grant.endpoint());
      assertFalse(scheduler.offer(call("b").build(), 1).isAccepted());
      scheduler.putEndpoint(endpoint("e0", 2, 1));
      scheduler.offer(call("b").build(), 2);
      assertEquals(List.of(), dispatchedPrograms(2));
      scheduler.release(id("a"), completed(grant), 3);
      assertEquals(List.of("b"), dispatchedPrograms(3));
    }

    /** Guards against grants on a draining endpoint. */
    @Test
    void drainingEndpointGetsNoGrants() {
      scheduler.offer(call("a").build(), 0);
      scheduler.putEndpoint(endpoint("e0", 2, 1).withDraining(true));
      assertEquals(List.of(), dispatchedPrograms(1));
    }

    /** Guards against slots that are never reclaimed after a crash of the VM that used them. */
    @Test
    void slotIsReclaimedWhenTheGrantExpires() {
      grantFor("a");
      scheduler.offer(call("b").build(), 1);
      assertEquals(List.of(), dispatchedPrograms(29_999));
      assertEquals(List.of("b"), dispatchedPrograms(30_000));
      assertEquals(1, scheduler.counters().expired());
    }

    /** Guards against expiry of a grant whose call still receives tokens. */
    @Test
    void observationExtendsTheGrant() {
      SlotGrant grant = grantFor("a");
      scheduler.observe(id("a"), new CallObservation(grant.grantId(), 50, 10, 500), 20_000);
      scheduler.dispatch(40_000);
      assertEquals(1, scheduler.outstanding(grant.endpoint()));
    }

    /** Guards against a dispatch that requires the clock to advance. */
    @Test
    void dispatchContinuesWhenTheClockStopsOrStepsBack() {
      for (int i = 0; i < 50; i++) {
        scheduler.offer(call("p" + i).underWay(true).build(), 1_000 - i);
        for (SlotGrant grant : scheduler.dispatch(1_000 - i)) {
          scheduler.release(grant.call(), completed(grant), 1_000 - i);
        }
      }
      assertEquals(50, scheduler.counters().granted());
    }

    /** Guards against a new owner that grants a slot or a grant id of the previous owner again. */
    @Test
    void restoredGrantOccupiesItsSlotAndItsIdIsNotReused() {
      SlotGrant restored =
          new SlotGrant(id("a"), new EndpointId("e0"), 41, 30_000, 0, false, false, false);
      scheduler.restore(call("a").build(), restored, 0);
      scheduler.offer(call("b").build(), 0);
      assertEquals(List.of(), dispatchedPrograms(0));
      scheduler.release(id("a"), completed(restored), 1);
      assertEquals(42, scheduler.dispatch(1).get(0).grantId());
    }

    /** Guards against a grant for a cancelled call. */
    @Test
    void cancelledCallIsNotGranted() {
      scheduler.offer(call("a").build(), 0);
      assertTrue(scheduler.cancel(id("a"), 0));
      assertEquals(List.of(), dispatchedPrograms(0));
      assertFalse(scheduler.cancel(id("a"), 0));
    }

    /**
     * Guards against a preempted call that is not queued again, and against a repeated release of
     * its first grant that affects the second.
     */
    @Test
    void preemptedCallIsQueuedAgainAndRepeatedReleaseOfItsFirstGrantIsIgnored() {
      SlotGrant first = grantFor("a");
      scheduler.release(id("a"), ended(first, CallEnding.PREEMPTED), 5);
      SlotGrant second = scheduler.dispatch(5).get(0);
      scheduler.release(id("a"), ended(first, CallEnding.PREEMPTED), 6);
      assertEquals(1, scheduler.outstanding(second.endpoint()));
      assertEquals(0, scheduler.waitingCount());
    }
  }
}
