package io.magnoliaroute.core.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class DrainStateTest {

  private static final long REFUSAL_EXPIRY_MS = 30_000;
  private static final EndpointId ENGINE = new EndpointId("engine-1");

  private final DrainState state = new DrainState(REFUSAL_EXPIRY_MS);

  @Nested
  final class WhenSeveralSourcesDrainAnEndpoint {

    /** Guards against a resume by one source while another source still drains the endpoint. */
    @Test
    void itDrainsFromTheFirstRequestUntilTheLastSourceEnds() {
      state.applyDraining(7, ENGINE, 200);
      state.applySettings(1, Set.of(ENGINE), 100);
      state.applyPlatformList(1, Set.of(ENGINE), Set.of(), 300);
      assertEquals(100, state.findDrain(ENGINE).orElseThrow().sinceMs());
      state.applySettings(2, Set.of(), 400);
      assertEquals(200, state.findDrain(ENGINE).orElseThrow().sinceMs());
      state.applyResumed(8, ENGINE);
      assertEquals(
          Optional.of(new EndpointDrain(ENGINE, 300, Set.of(DrainSource.PLATFORM))),
          state.findDrain(ENGINE));
      state.applyPlatformList(2, Set.of(), Set.of(ENGINE), 500);
      assertFalse(state.isDraining(ENGINE));
    }

    /** Guards against missing or repeated changes. */
    @Test
    void eachChangeIsReportedOnce() {
      state.recordRefusal(ENGINE, 0);
      state.applyDraining(1, ENGINE, 0);
      assertEquals(List.of(new DrainChange(ENGINE, true)), state.poll(0));
      assertEquals(List.of(), state.poll(1));
      state.applyResumed(2, ENGINE);
      assertEquals(List.of(new DrainChange(ENGINE, false)), state.poll(2));
      assertEquals(List.of(), state.poll(3));
    }
  }

  @Nested
  final class WhenInputIsOld {

    /** Guards against a late record, settings version or list that resumes a draining endpoint. */
    @Test
    void itHasNoEffect() {
      state.applyDraining(9, ENGINE, 0);
      state.applyResumed(8, ENGINE);
      assertTrue(state.isDraining(ENGINE));
      state.applyResumed(10, ENGINE);
      state.applyDraining(9, ENGINE, 0);
      assertFalse(state.isDraining(ENGINE));
      state.applySettings(5, Set.of(ENGINE), 0);
      state.applySettings(4, Set.of(), 0);
      state.applyPlatformList(5, Set.of(ENGINE), Set.of(), 0);
      state.applyPlatformList(5, Set.of(), Set.of(ENGINE), 0);
      Set<DrainSource> both = Set.of(DrainSource.SETTINGS, DrainSource.PLATFORM);
      assertEquals(both, state.findDrain(ENGINE).orElseThrow().sources());
    }
  }

  @Nested
  final class WhenAnEndpointRefuses {

    /** Guards against an endpoint that never receives work again after a refusal. */
    @Test
    void itReceivesWorkAgainAfterTheRefusalsExpire() {
      state.recordRefusal(ENGINE, 1_000);
      state.recordRefusal(ENGINE, 5_000);
      state.poll(5_000 + REFUSAL_EXPIRY_MS - 1);
      assertTrue(state.isDraining(ENGINE));
      state.poll(5_000 + REFUSAL_EXPIRY_MS);
      assertFalse(state.isDraining(ENGINE));
    }

    /** Guards against a late response to a call sent before the refusal, which ends the drain. */
    @Test
    void onlyAcceptedCallsSentAfterTheRefusalEndTheDrain() {
      state.recordRefusal(ENGINE, 1_000);
      state.recordAcceptance(ENGINE, 900);
      assertTrue(state.isDraining(ENGINE));
      state.recordAcceptance(ENGINE, 1_100);
      assertFalse(state.isDraining(ENGINE));
    }
  }
}
