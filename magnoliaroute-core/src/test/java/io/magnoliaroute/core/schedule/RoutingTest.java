package io.magnoliaroute.core.schedule;

import static io.magnoliaroute.core.schedule.SchedulerFixture.REMOTE;
import static io.magnoliaroute.core.schedule.SchedulerFixture.cachedAt;
import static io.magnoliaroute.core.schedule.SchedulerFixture.call;
import static io.magnoliaroute.core.schedule.SchedulerFixture.ended;
import static io.magnoliaroute.core.schedule.SchedulerFixture.endpoint;
import static io.magnoliaroute.core.schedule.SchedulerFixture.id;
import static io.magnoliaroute.core.schedule.SchedulerFixture.scheduler;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RoutingTest {

  private static final EndpointId E0 = new EndpointId("e0");
  private static final long USUAL_INTER_TOKEN_MS = 20;

  private static List<String> endpoints(List<SlotGrant> grants) {
    return grants.stream().map(g -> g.endpoint().value()).toList();
  }

  private static List<String> dispatchTo(GroupScheduler scheduler, WaitingCall call, long nowMs) {
    scheduler.offer(call, nowMs);
    return endpoints(scheduler.dispatch(nowMs));
  }

  @Nested
  final class RepeatedAttempts {

    private final GroupScheduler scheduler = scheduler(endpoint("e0", 2, 0), endpoint("e1", 2, 0));

    /**
     * Guards against a retry that returns to the endpoint that aborted the first attempt, because
     * the history is in its prefix cache.
     */
    @Test
    void avoidedEndpointIsNotUsedAlthoughItHasTheHistoryCached() {
      assertEquals(List.of("e0"), dispatchTo(scheduler, callAvoiding("a", "e1"), 0));
      assertEquals(List.of("e0"), dispatchTo(scheduler, callAvoiding("b", "e1"), 0));
      assertEquals(List.of(), dispatchTo(scheduler, callAvoiding("c", "e1"), 0));
    }

    /** Guards against a call that is never granted because the only endpoint is to be avoided. */
    @Test
    void avoidedEndpointIsUsedIfItIsTheOnlyOne() {
      scheduler.removeEndpoint(new EndpointId("e0"));
      assertEquals(List.of("e1"), dispatchTo(scheduler, callAvoiding("a", "e1"), 0));
    }

    private WaitingCall callAvoiding(String name, String endpoint) {
      EndpointId avoided = new EndpointId(endpoint);
      return call(name)
          .prompt(8_000, Map.of(avoided, 8_000))
          .avoidedEndpoints(Set.of(avoided))
          .build();
    }
  }

  @Nested
  final class PrefixAffinity {

    private final GroupScheduler scheduler = scheduler(endpoint("e0", 2, 0), endpoint("e1", 2, 0));

    /** Guards against computing a cached history again on another idle endpoint. */
    @Test
    void callIsRoutedToTheEndpointThatHasItsHistoryCached() {
      assertEquals(List.of("e1"), dispatchTo(scheduler, cachedAt("a", "e1", 8_000), 0));
    }

    /**
     * Guards against recomputing a long history when waiting for a slot of the endpoint that has it
     * cached is cheaper.
     */
    @Test
    void callWithLongHistoryWaitsForTheFullEndpoint() {
      dispatchTo(scheduler, cachedAt("a", "e1", 8_000), 0);
      dispatchTo(scheduler, cachedAt("b", "e1", 8_000), 0);
      assertEquals(List.of(), dispatchTo(scheduler, cachedAt("c", "e1", 100_000), 0));
    }

    /** Guards against waiting for a full endpoint when recomputing is cheaper. */
    @Test
    void shortHistoryIsRecomputedOnAnotherEndpoint() {
      dispatchTo(scheduler, cachedAt("a", "e1", 8_000), 0);
      dispatchTo(scheduler, cachedAt("b", "e1", 8_000), 0);
      assertEquals(List.of("e0"), dispatchTo(scheduler, cachedAt("c", "e1", 200), 0));
    }

    /**
     * Guards against an urgent call that waits for the endpoint with its cached history while
     * another endpoint has a free slot.
     */
    @Test
    void urgentCallDoesNotWaitForTheEndpointWithItsHistory() {
      dispatchTo(scheduler, cachedAt("a", "e1", 8_000), 0);
      dispatchTo(scheduler, cachedAt("b", "e1", 8_000), 0);
      WaitingCall urgent =
          call("u")
              .priority(PriorityClass.URGENT)
              .prompt(100_000, Map.of(new EndpointId("e1"), 100_000))
              .build();
      assertEquals(List.of("e0"), dispatchTo(scheduler, urgent, 0));
    }
  }

  @Nested
  final class Placement {

    /**
     * Guards against traffic between data centres while local slots are free, and against waiting
     * when only remote slots are free.
     */
    @Test
    void otherDataCentreIsUsedWhenTheLocalOneIsFull() {
      GroupScheduler scheduler = scheduler(endpoint("far", REMOTE, 2, 0), endpoint("near", 1, 0));
      assertEquals(List.of("near"), dispatchTo(scheduler, call("a").build(), 0));
      assertEquals(List.of("far"), dispatchTo(scheduler, call("b").build(), 0));
    }

    /**
     * Guards against a model load while an endpoint with the model has a free slot or is expected
     * to have one soon.
     */
    @Test
    void callWaitsForAnEndpointThatHasItsModelLoaded() {
      EndpointSpec withoutModel =
          new EndpointSpec(E0, SchedulerFixture.LOCAL, 4, 0, Set.of("other"), false);
      EndpointSpec withModel = endpoint("e1", REMOTE, 1, 0);
      GroupScheduler scheduler = scheduler(withoutModel, withModel);
      assertEquals(List.of("e1"), dispatchTo(scheduler, call("a").build(), 0));
      assertEquals(List.of(), dispatchTo(scheduler, call("b").build(), 0));
      scheduler.putEndpoint(withModel.withDraining(true));
      SlotGrant loading = scheduler.dispatch(1).get(0);
      assertEquals(E0, loading.endpoint());
      assertTrue(loading.modelLoadNeeded());
    }
  }

  @Nested
  final class SlowEndpoints {

    private final GroupScheduler scheduler =
        scheduler(endpoint("e0", 8, 0), endpoint("e1", 8, 0), endpoint("e2", 8, 0));

    private List<SlotGrant> startCalls(int calls) {
      for (int i = 0; i < calls; i++) {
        scheduler.offer(call("p" + i).build(), 0);
      }
      return scheduler.dispatch(0);
    }

    /**
     * Reports progress of the grants every 200 ms with the usual time between tokens, multiplied by
     * the given factor on endpoint e0.
     */
    private void reportProgress(List<SlotGrant> grants, long fromMs, long toMs, int slowdown) {
      for (long now = fromMs; now <= toMs; now += 200) {
        for (SlotGrant grant : grants) {
          long interTokenMs =
              grant.endpoint().equals(E0) ? USUAL_INTER_TOKEN_MS * slowdown : USUAL_INTER_TOKEN_MS;
          scheduler.observe(
              grant.call(),
              new CallObservation(grant.grantId(), 50, (int) (now / interTokenMs) + 1, now),
              now);
        }
      }
    }

    /** Guards against grants on an endpoint that has become three times slower than the others. */
    @Test
    void slowEndpointGetsNoNewCallsAfterOneSecond() {
      reportProgress(startCalls(9), 0, 1_000, 3);
      assertTrue(scheduler.isSlow(E0));
      scheduler.offer(call("new").build(), 1_000);
      assertFalse(endpoints(scheduler.dispatch(1_000)).contains("e0"));
    }

    /** Guards against an endpoint that gets no calls after it has recovered. */
    @Test
    void idleSlowEndpointIsProbedAndRecovers() {
      List<SlotGrant> grants = startCalls(9);
      reportProgress(grants, 0, 1_000, 3);
      for (SlotGrant grant : grants) {
        scheduler.release(grant.call(), ended(grant, CallEnding.CANCELLED), 1_000);
      }
      scheduler.offer(call("probe").times(3_000, 600_000).build(), 3_000);
      SlotGrant probe = scheduler.dispatch(3_000).get(0);
      assertEquals(E0, probe.endpoint());
      for (int i = 1; i <= 8; i++) {
        scheduler.observe(
            id("probe"),
            new CallObservation(probe.grantId(), 50, i * 10, i * 200L),
            3_000 + i * 200L);
      }
      assertFalse(scheduler.isSlow(E0));
    }

    /** Guards against a group without usable endpoints when all of them fail. */
    @Test
    void atMostHalfOfTheEndpointsCountAsSlowWhenAllFail() {
      for (int i = 0; i < 40; i++) {
        scheduler.offer(call("f" + i).build(), i * 200L);
        for (SlotGrant grant : scheduler.dispatch(i * 200L)) {
          scheduler.release(grant.call(), ended(grant, CallEnding.FAILED), i * 200L);
        }
      }
      long slow =
          List.of("e0", "e1", "e2").stream()
              .filter(e -> scheduler.isSlow(new EndpointId(e)))
              .count();
      assertEquals(1, slow);
    }

    /**
     * Guards against an endpoint that fails every call immediately and attracts new calls because
     * it always has the most free slots.
     */
    @Test
    void endpointThatFailsEveryCallGetsOnlyProbes() {
      int callsOnFailing = 0;
      for (int i = 0; i < 50; i++) {
        long now = i * 200L;
        scheduler.offer(call("f" + i).build(), now);
        for (SlotGrant grant : scheduler.dispatch(now)) {
          boolean fails = grant.endpoint().equals(E0);
          callsOnFailing += fails ? 1 : 0;
          scheduler.release(
              grant.call(), ended(grant, fails ? CallEnding.FAILED : CallEnding.COMPLETED), now);
        }
      }
      assertTrue(callsOnFailing <= 12, "calls at the failing endpoint: " + callsOnFailing);
    }

    /**
     * Guards against hedging of a call that is not idempotent, and against hedging without retry
     * budget.
     */
    @Test
    void onlyPermittedIdempotentCallsAreHedged() {
      scheduler.offer(call("once").idempotent(false).build(), 0);
      List<SlotGrant> grants = new ArrayList<>(scheduler.dispatch(0));
      grants.addAll(startCalls(8));
      reportProgress(grants, 0, 1_000, 3);
      assertEquals(List.of(), scheduler.hedge((team, now) -> false, 1_000));
      List<SlotGrant> hedges = scheduler.hedge((team, now) -> true, 1_000);
      assertTrue(hedges.size() > 0);
      assertTrue(hedges.stream().noneMatch(g -> g.call().equals(id("once"))));
      assertEquals(List.of(), scheduler.hedge((team, now) -> true, 1_000));
    }
  }

  @Nested
  final class Preemptions {

    private final GroupScheduler scheduler = scheduler(endpoint("e0", 2, 0));

    /** Guards against an urgent call that waits until long bulk streams end. */
    @Test
    void bulkStreamIsPreemptedOnceForAWaitingUrgentCall() {
      scheduler.offer(call("b1", PriorityClass.BULK), 0);
      scheduler.offer(call("b2", PriorityClass.BULK), 0);
      scheduler.dispatch(0);
      scheduler.offer(call("u", PriorityClass.URGENT), 10);
      scheduler.dispatch(10);
      List<Preemption> preemptions = scheduler.preempt(10);
      assertEquals(1, preemptions.size());
      assertEquals(List.of(), scheduler.preempt(11));
      Preemption preemption = preemptions.get(0);
      scheduler.release(
          preemption.victim(),
          CallResult.withoutTokens(preemption.victimGrantId(), CallEnding.PREEMPTED),
          20);
      assertEquals(id("u"), scheduler.dispatch(20).get(0).call());
    }

    /** Guards against preemption of calls that must not run twice and of normal calls. */
    @Test
    void normalAndNonIdempotentCallsAreNeverPreempted() {
      scheduler.offer(call("n", PriorityClass.NORMAL), 0);
      scheduler.offer(call("b").priority(PriorityClass.BULK).idempotent(false).build(), 0);
      scheduler.dispatch(0);
      scheduler.offer(call("u", PriorityClass.URGENT), 10);
      scheduler.dispatch(10);
      assertEquals(List.of(), scheduler.preempt(10));
    }
  }
}
