package io.magnoliaroute.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.placement.PlacementOrder.Action;
import io.magnoliaroute.core.placement.PlacementOrder.Response;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PlacementTest {

  private static final long SIZE_BYTES = 1_000;
  private static final PlacementSettings SETTINGS =
      new PlacementSettings(100, 2 * SIZE_BYTES, 1_000, 8_000, 10_000);
  private static final EndpointId ENGINE = new EndpointId("engine-1");
  private static final EndpointId OTHER = new EndpointId("engine-2");
  private static final ModelVariant PLANNER = new ModelVariant("planner", "", "1");
  private static final ModelVariant ROUTES = new ModelVariant("planner", "routes", "3");

  private final PlacementController controller = new PlacementController(SETTINGS, 5, 0);

  @Nested
  final class WhenWeightsAreMissing {

    /** Guards against load orders that exceed the rate limit of the weight store. */
    @Test
    void loadsAreLimitedByTheBurstAndTheRate() {
      for (int i = 0; i < 10; i++) {
        EndpointId engine = new EndpointId("engine-" + i);
        controller.setDesired(engine, Map.of(PLANNER, SIZE_BYTES));
        controller.onListing(engine, Set.of());
      }
      assertEquals(2, controller.poll(0).size());
      int orders = 0;
      for (long nowMs = 100; nowMs <= 60_000; nowMs += 100) {
        orders += controller.poll(nowMs).size();
      }
      assertEquals(6, orders);
    }

    /**
     * Guards against a variant larger than the burst that is never loaded, and against exceeding
     * the mean rate after its load.
     */
    @Test
    void variantLargerThanTheBurstIsLoadedAndDelaysTheNext() {
      controller.setDesired(ENGINE, Map.of(PLANNER, 5 * SIZE_BYTES, ROUTES, SIZE_BYTES));
      controller.onListing(ENGINE, Set.of(ROUTES));
      assertEquals(1, controller.poll(0).size());
      controller.onListing(ENGINE, Set.of(PLANNER));
      assertEquals(List.of(), controller.poll(39_900));
      assertEquals(1, controller.poll(40_000).size());
    }

    /**
     * Guards against loading a further copy of a variant before the first copy of another variant.
     */
    @Test
    void variantLoadedOnTheFewestEnginesIsLoadedFirst() {
      controller.setDesired(ENGINE, Map.of(PLANNER, 2 * SIZE_BYTES));
      controller.setDesired(OTHER, Map.of(PLANNER, SIZE_BYTES, ROUTES, 2 * SIZE_BYTES));
      controller.onListing(ENGINE, Set.of());
      controller.onListing(OTHER, Set.of(PLANNER));
      assertEquals(List.of(new PlacementOrder(OTHER, Action.LOAD, ROUTES, 5)), controller.poll(0));
    }

    /** Guards against repeating orders without backoff while the weight store is unavailable. */
    @Test
    void failedOrdersBackOff() {
      controller.setDesired(ENGINE, Map.of(PLANNER, 1L));
      controller.onListing(ENGINE, Set.of());
      List<Long> sentAtMs = new ArrayList<>();
      for (long nowMs = 0; nowMs < 32_000; nowMs += 500) {
        for (PlacementOrder order : controller.poll(nowMs)) {
          sentAtMs.add(nowMs);
          controller.onResponse(order, Response.FAILED);
        }
      }
      assertEquals(List.of(0L, 1_000L, 3_000L, 7_000L, 15_000L, 23_000L, 31_000L), sentAtMs);
    }
  }

  @Nested
  final class WhenTheOwnerIsNew {

    /** Guards against orders to an engine whose loaded variants are not known yet. */
    @Test
    void noOrdersAreSentBeforeTheFirstListing() {
      controller.setDesired(ENGINE, Map.of(PLANNER, SIZE_BYTES));
      assertEquals(List.of(), controller.poll(0));
      assertEquals(List.of(ENGINE), controller.listingsDue(0));
      assertEquals(List.of(ENGINE), controller.listingsDue(1_000));
      controller.onListing(ENGINE, Set.of(ROUTES));
      assertEquals(2, controller.poll(1_000).size());
      assertEquals(List.of(ENGINE), controller.enginesServing(ROUTES));
    }

    /**
     * Guards against a previous owner that continues to send orders after an engine refused its
     * token.
     */
    @Test
    void ownerWithAnOldTokenSendsNoOrdersUntilTheTokenIsRenewed() {
      controller.setDesired(ENGINE, Map.of(PLANNER, SIZE_BYTES));
      controller.onListing(ENGINE, Set.of());
      PlacementOrder order = controller.poll(0).get(0);
      controller.onResponse(order, Response.OLD_TOKEN);
      assertTrue(controller.isFenced());
      assertEquals(List.of(), controller.poll(60_000));
      controller.renewToken(9);
      controller.onResponse(order, Response.OLD_TOKEN);
      assertFalse(controller.isFenced());
      assertEquals(9, controller.poll(60_000).get(0).fencingToken());
    }

    /**
     * Guards against an engine that ignores tokens and keeps the variants that a previous owner
     * ordered.
     */
    @Test
    void engineThatIgnoresTokensConvergesAfterThePreviousOwnerStops() {
      Random random = new Random(7);
      PlacementController previousOwner = new PlacementController(SETTINGS, 4, 0);
      previousOwner.setDesired(ENGINE, Map.of(ROUTES, 1L));
      controller.setDesired(ENGINE, Map.of(PLANNER, 1L));
      Set<ModelVariant> loaded = new HashSet<>();
      for (long nowMs = 0; nowMs < 60_000; nowMs += 500) {
        executeOrders(controller, loaded, nowMs, random);
        if (nowMs < 20_000) {
          executeOrders(previousOwner, loaded, nowMs, random);
        }
      }
      assertEquals(Set.of(PLANNER), loaded);
    }

    private void executeOrders(
        PlacementController owner, Set<ModelVariant> loaded, long nowMs, Random random) {
      for (EndpointId engine : owner.listingsDue(nowMs)) {
        owner.onListing(engine, loaded);
      }
      for (PlacementOrder order : owner.poll(nowMs)) {
        if (order.action() == Action.LOAD) {
          loaded.add(order.variant());
        } else {
          loaded.remove(order.variant());
        }
        if (random.nextBoolean()) {
          owner.onResponse(order, Response.DONE);
        }
      }
    }
  }

  /** Guards against transfers that take longer than the recomputation that they replace. */
  @Test
  void kvCacheIsTransferredOnlyWhereThatIsClearlyFaster() {
    Map<Long, KvMove> expected = new HashMap<>();
    expected.put(0L, KvMove.TRANSFER);
    expected.put(9_000L, KvMove.TRANSFER);
    expected.put(9_400L, KvMove.RECOMPUTE);
    expected.put(10_000L, KvMove.RECOMPUTE);
    // 10,000 tokens of 100 KB at 20 MB/ms take 70 ms including set-up; prefill computes 10
    // tokens/ms.
    expected.forEach(
        (cachedTokens, move) ->
            assertEquals(
                move,
                KvMove.choose(
                    new KvMoveEstimate(10_000, cachedTokens, 100_000, 20_000_000, 20, 10))));
  }
}
