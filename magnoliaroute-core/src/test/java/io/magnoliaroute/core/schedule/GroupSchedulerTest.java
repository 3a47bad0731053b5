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

  private List<String> granted(long nowMs) {
    return scheduler.dispatch(nowMs).stream().map(g -> g.call().program().value()).toList();
  }

  @Nested
  final class OrderOfService {

    /** Guards against normal work in the slots that are kept for urgent calls. */
    @Test
    void reservedSlotsStayFreeForUrgentCalls() {
      scheduler.offer(call("a", PriorityClass.NORMAL), 0);
      scheduler.offer(call("b", PriorityClass.NORMAL), 0);
      assertEquals(List.of("a"), granted(0));
      scheduler.offer(call("alarm", PriorityClass.URGENT), 1);
      assertEquals(List.of("alarm"), granted(1));
    }

    /** Guards against an urgent call behind normal and bulk calls that came before it. */
    @Test
    void classesAreServedInOrder() {
      scheduler.offer(call("bulk", PriorityClass.BULK), 0);
      scheduler.offer(call("normal", PriorityClass.NORMAL), 0);
      scheduler.offer(call("urgent", PriorityClass.URGENT), 0);
      assertEquals(List.of("urgent", "normal"), granted(1));
    }

    /** Guards against a long program that keeps short ones waiting. */
    @Test
    void leastAttainedProgramIsServedFirst() {
      scheduler.offer(call("long").attainedServiceUnits(5_000).underWay(true).build(), 0);
      scheduler.offer(call("new").build(), 10);
      assertEquals(List.of("new"), granted(10));
    }

    /** Guards against a sub-agent that starts with no service of its own and overtakes. */
    @Test
    void serviceOfSubAgentsCountsTowardsTheirRoot() {
      ProgramId root = new ProgramId("root");
      scheduler.offer(call("child-1").rootProgram(root).build(), 0);
      SlotGrant grant = scheduler.dispatch(0).get(0);
      scheduler.release(
          id("child-1"),
          new CallResult(grant.grantId(), CallEnding.COMPLETED, 0, 50, 4_000, 9_000),
          9_000);
      scheduler.offer(call("child-2").rootProgram(root).times(9_000, 600_000).build(), 9_000);
      scheduler.offer(call("other").times(9_001, 600_000).build(), 9_001);
      assertEquals(List.of("other"), granted(9_001));
    }

    /** Guards against a call that later calls with less service overtake for ever. */
    @Test
    void callPastTheAgeingBoundIsServedFirstInItsClass() {
      scheduler.offer(call("old").attainedServiceUnits(90_000).underWay(true).build(), 0);
      scheduler.offer(call("new").times(29_999, 600_000).build(), 29_999);
      assertEquals(List.of("old"), granted(30_000));
    }

    /** Guards against urgent work that starves the other classes of unreserved slots. */
    @Test
    void oneInEightDispatchesGoesToAnAgedCallOfALowerClass() {
      GroupScheduler wide = scheduler(endpoint("e0", 32, 1));
      wide.offer(call("bulk", PriorityClass.BULK), 0);
      for (int i = 0; i < 16; i++) {
        wide.offer(call("normal" + i).times(30_000, 600_000).build(), 30_000);
      }
      List<SlotGrant> grants = wide.dispatch(30_000);
      assertEquals("bulk", grants.get(7).call().program().value());
    }

    /** Guards against a team whose flood takes all slots from another team of its class. */
    @Test
    void teamsShareTheSlotsOfTheirClass() {
      GroupScheduler wide = scheduler(endpoint("e0", 65, 1));
      for (int i = 0; i < 200; i++) {
        wide.offer(call("a" + i, "flooding").build(), 0);
      }
      for (int i = 0; i < 32; i++) {
        wide.offer(call("b" + i, "calm").build(), 1);
      }
      long calm =
          wide.dispatch(1).stream().filter(g -> g.call().program().value().startsWith("b")).count();
      assertTrue(calm >= 20, () -> "slots of the calm team: " + calm);
    }
  }

  @Nested
  final class UrgentRation {

    /** Guards against a team that turns all its work urgent. */
    @Test
    void callPastTheRationIsMarkedCountedAndServedAsNormal() {
      scheduler.offer(call("u1", PriorityClass.URGENT), 0);
      scheduler.offer(call("u2", PriorityClass.URGENT), 0);
      assertEquals(
          new AdmissionDecision.Accepted(true),
          scheduler.offer(call("u3", PriorityClass.URGENT), 0));
      assertEquals(1, scheduler.counters().urgentDemoted());
      assertEquals(List.of("u1", "u2"), granted(0));
    }

    /** Guards against a ration that is never filled again, or filled by a clock that stands. */
    @Test
    void rationFillsWithTimeOnly() {
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

    /** Guards against the ration of one team being used up by another. */
    @Test
    void rationsOfTeamsAreSeparate() {
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

    /** Guards against a call that is accepted although it cannot finish in time. */
    @Test
    void newProgramBehindTooMuchWorkIsRefusedWithARetryTime() {
      fill(PriorityClass.NORMAL, 100);
      AdmissionDecision.Refused refused =
          assertInstanceOf(
              AdmissionDecision.Refused.class, offer("new", PriorityClass.NORMAL, false));
      assertEquals(RefusalReason.DEADLINE_UNREACHABLE, refused.reason());
      assertTrue(refused.retryAfterMs() > 0);
    }

    /** Guards against a program that is refused in its middle so that its earlier work is lost. */
    @Test
    void programUnderWayIsAcceptedWhereANewOneIsRefused() {
      fill(PriorityClass.NORMAL, 100);
      assertTrue(offer("running", PriorityClass.NORMAL, true).isAccepted());
    }

    /** Guards against bulk work that is refused later than the work it should make room for. */
    @Test
    void lowestClassIsRefusedFirst() {
      fill(PriorityClass.NORMAL, 100);
      assertFalse(offer("bulk", PriorityClass.BULK, false).isAccepted());
      assertTrue(offer("urgent", PriorityClass.URGENT, false).isAccepted());
    }

    /** Guards against refusals by an idle group because programs are usually long. */
    @Test
    void idleGroupAcceptsAShortDeadline() {
      assertTrue(scheduler.offer(call("brief").times(0, 20_000).build(), 0).isAccepted());
    }

    /** Guards against a program that runs after its deadline, and against overflow of its slack. */
    @Test
    void pastDeadlineIsRefused() {
      for (long deadlineMs : new long[] {Long.MIN_VALUE, 0, 10}) {
        WaitingCall late = call("late").times(0, deadlineMs).underWay(true).build();
        assertFalse(scheduler.offer(late, 10).isAccepted());
      }
    }

    /** Guards against ended programs that are never reported and count as work for ever. */
    @Test
    void programWithoutCallsLapses() {
      scheduler.offer(call("a").build(), 0);
      scheduler.cancel(id("a"), 0);
      scheduler.dispatch(119_999);
      assertEquals(1, scheduler.programCount());
      scheduler.dispatch(121_000);
      assertEquals(0, scheduler.programCount());
    }

    /** Guards against an accepted call that is dropped when its deadline passes in the queue. */
    @Test
    void acceptedCallIsGrantedEvenAfterItsDeadline() {
      scheduler.offer(call("brief").times(0, 20_000).build(), 0);
      assertEquals(List.of("brief"), granted(25_000));
    }
  }

  @Nested
  final class OddInput {

    private SlotGrant running(String name) {
      scheduler.offer(call(name).build(), 0);
      return scheduler.dispatch(0).get(0);
    }

    /** Guards against two grants for one call that is sent twice. */
    @Test
    void sameCallIsRefusedWhileItWaitsAndWhileItRuns() {
      scheduler.offer(call("a").build(), 0);
      assertFalse(scheduler.offer(call("a").build(), 0).isAccepted());
      scheduler.dispatch(0);
      assertFalse(scheduler.offer(call("a").build(), 0).isAccepted());
    }

    /** Guards against a window that grows with each repeated release. */
    @Test
    void secondReleaseChangesNothing() {
      SlotGrant grant = running("a");
      scheduler.release(id("a"), completed(grant), 10);
      scheduler.release(id("a"), completed(grant), 10);
      scheduler.offer(call("b").build(), 20);
      scheduler.offer(call("c").build(), 20);
      assertEquals(1, scheduler.dispatch(20).size());
    }

    /** Guards against an exception or a freed slot for a call that this owner never granted. */
    @Test
    void releaseAndObservationOfUnknownCallsAreIgnored() {
      SlotGrant grant = running("a");
      scheduler.release(id("unknown"), completed(grant), 10);
      scheduler.observe(id("unknown"), new CallObservation(99, 5, 1, 0), 10);
      assertEquals(1, scheduler.outstanding(grant.endpoint()));
    }

    /** Guards against slots that stay taken, or come back twice, when an endpoint is replaced. */
    @Test
    void removedEndpointKeepsItsCallsUntilTheyAreReleased() {
      SlotGrant grant = running("a");
      scheduler.removeEndpoint(grant.endpoint());
      assertFalse(scheduler.offer(call("b").build(), 1).isAccepted());
      scheduler.putEndpoint(endpoint("e0", 2, 1));
      scheduler.offer(call("b").build(), 2);
      assertEquals(List.of(), granted(2));
      scheduler.release(id("a"), completed(grant), 3);
      assertEquals(List.of("b"), granted(3));
    }

    /** Guards against new work for an endpoint that leaves. */
    @Test
    void drainingEndpointGetsNothing() {
      scheduler.offer(call("a").build(), 0);
      scheduler.putEndpoint(endpoint("e0", 2, 1).withDraining(true));
      assertEquals(List.of(), granted(1));
    }

    /** Guards against slots that are lost for ever when the VM that used them dies. */
    @Test
    void slotIsTakenBackAfterTheGrantExpires() {
      running("a");
      scheduler.offer(call("b").build(), 1);
      assertEquals(List.of(), granted(29_999));
      assertEquals(List.of("b"), granted(30_000));
      assertEquals(1, scheduler.counters().expired());
    }

    /** Guards against a slot that expires although tokens still arrive. */
    @Test
    void observationKeepsTheGrant() {
      SlotGrant grant = running("a");
      scheduler.observe(id("a"), new CallObservation(grant.grantId(), 50, 10, 500), 20_000);
      scheduler.dispatch(40_000);
      assertEquals(1, scheduler.outstanding(grant.endpoint()));
    }

    /** Guards against dispatch that depends on the clock to move. */
    @Test
    void clockThatStandsStillOrStepsBackStopsNothing() {
      for (int i = 0; i < 50; i++) {
        scheduler.offer(call("p" + i).underWay(true).build(), 1_000 - i);
        for (SlotGrant grant : scheduler.dispatch(1_000 - i)) {
          scheduler.release(grant.call(), completed(grant), 1_000 - i);
        }
      }
      assertEquals(50, scheduler.counters().granted());
    }

    /** Guards against a grant of the earlier owner that a new owner gives away again. */
    @Test
    void restoredGrantHoldsItsSlotAndItsNumber() {
      SlotGrant held =
          new SlotGrant(id("a"), new EndpointId("e0"), 41, 30_000, 0, false, false, false);
      scheduler.restore(call("a").build(), held, 0);
      scheduler.offer(call("b").build(), 0);
      assertEquals(List.of(), granted(0));
      scheduler.release(id("a"), completed(held), 1);
      assertEquals(42, scheduler.dispatch(1).get(0).grantId());
    }

    /** Guards against a grant for a call whose caller left. */
    @Test
    void cancelledCallIsNotGranted() {
      scheduler.offer(call("a").build(), 0);
      assertTrue(scheduler.cancel(id("a"), 0));
      assertEquals(List.of(), granted(0));
      assertFalse(scheduler.cancel(id("a"), 0));
    }

    /** Guards against a preempted call that is lost, and against its earlier release. */
    @Test
    void preemptedCallWaitsAgainAndIgnoresTheReleaseOfItsFirstGrant() {
      SlotGrant first = running("a");
      scheduler.release(id("a"), ended(first, CallEnding.PREEMPTED), 5);
      SlotGrant second = scheduler.dispatch(5).get(0);
      scheduler.release(id("a"), ended(first, CallEnding.PREEMPTED), 6);
      assertEquals(1, scheduler.outstanding(second.endpoint()));
      assertEquals(0, scheduler.waitingCount());
    }
  }
}
