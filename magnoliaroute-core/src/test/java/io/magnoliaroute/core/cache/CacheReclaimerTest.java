package io.magnoliaroute.core.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CacheReclaimerTest {

  private static final long SEQUENCES = Long.getLong("magnoliaroute.sequences", 2_000);
  private static final CacheSettings SETTINGS = CacheSettings.defaults();
  private static final EndpointId ENGINE = new EndpointId("engine-1");
  private static final ProgramId PROGRAM = new ProgramId("program-1");
  private static final long RELEASE_BOUND_MS = 2_000;

  private final CacheReclaimer reclaimer = new CacheReclaimer(SETTINGS);

  @Nested
  final class WhenProgramHasEnded {

    /** Guards against memory that is never released because a release or its response was lost. */
    @Test
    void releaseIsRepeatedUntilConfirmed() {
      reclaimer.onGrant(ENGINE, PROGRAM);
      reclaimer.onStatus(PROGRAM, ProgramStatus.ENDED, 1, 0);
      assertEquals(List.of(new CacheRelease(ENGINE, PROGRAM)), reclaimer.releasesDue(0));
      assertEquals(List.of(), reclaimer.releasesDue(499));
      assertEquals(1, reclaimer.releasesDue(500).size());
      reclaimer.onReleased(ENGINE, PROGRAM);
      assertEquals(List.of(), reclaimer.releasesDue(5_000));
    }

    /**
     * Guards against memory that is never released because a cancelled call stored it after the
     * release.
     */
    @Test
    void releaseIsRepeatedAfterCallEnds() {
      reclaimer.onGrant(ENGINE, PROGRAM);
      reclaimer.onStatus(PROGRAM, ProgramStatus.ENDED, 1, 0);
      reclaimer.releasesDue(0);
      reclaimer.onReleased(ENGINE, PROGRAM);
      reclaimer.onCallEnded(ENGINE, PROGRAM);
      assertEquals(1, reclaimer.releasesDue(10).size());
    }
  }

  @Nested
  final class WhenStatusReportsConflict {

    /**
     * Guards against a release for a live program, reported as ended by an owner that lost its
     * claim.
     */
    @Test
    void statusWithHighestEpochTakesPrecedence() {
      reclaimer.onGrant(ENGINE, PROGRAM);
      reclaimer.onStatus(PROGRAM, ProgramStatus.LIVE, 5, 0);
      reclaimer.onStatus(PROGRAM, ProgramStatus.ENDED, 4, 1);
      assertEquals(List.of(), reclaimer.releasesDue(10));
    }

    /**
     * Guards against a delayed status response that marks an ended program as live again, so that
     * its memory is never released.
     */
    @Test
    void endedStatusIsFinalWithinEpoch() {
      reclaimer.onGrant(ENGINE, PROGRAM);
      reclaimer.onStatus(PROGRAM, ProgramStatus.ENDED, 5, 0);
      reclaimer.onStatus(PROGRAM, ProgramStatus.LIVE, 5, 1);
      assertEquals(1, reclaimer.releasesDue(10).size());
    }
  }

  @Nested
  final class WhenEventsAreLost {

    /**
     * Guards against a lost event that leaves cached memory undetected until the next periodic
     * listing.
     */
    @Test
    void sequenceGapTriggersListing() {
      reclaimer.addEndpoint(ENGINE);
      assertEquals(List.of(ENGINE), reclaimer.listingsDue(0));
      reclaimer.onListing(new CacheListing(ENGINE, 10, Set.of()));
      assertEquals(List.of(), reclaimer.listingsDue(1_000));
      reclaimer.onEvent(new CacheEvent(ENGINE, 11, PROGRAM, CacheEvent.Kind.STORED));
      assertEquals(List.of(), reclaimer.listingsDue(1_100));
      reclaimer.onEvent(new CacheEvent(ENGINE, 13, PROGRAM, CacheEvent.Kind.STORED));
      assertEquals(List.of(ENGINE), reclaimer.listingsDue(1_200));
    }

    /**
     * Guards against memory that is never released because the message that its program ended was
     * lost.
     */
    @Test
    void statusOfCachedProgramsIsQueriedUntilEnded() {
      reclaimer.addEndpoint(ENGINE);
      reclaimer.onListing(new CacheListing(ENGINE, 1, Set.of(PROGRAM)));
      assertEquals(List.of(PROGRAM), reclaimer.statusQueriesDue(0));
      assertEquals(List.of(), reclaimer.statusQueriesDue(100));
      assertEquals(List.of(PROGRAM), reclaimer.statusQueriesDue(500));
      reclaimer.onStatus(PROGRAM, ProgramStatus.LIVE, 1, 500);
      assertEquals(List.of(), reclaimer.statusQueriesDue(1_500));
      reclaimer.invalidateLiveStatuses(program -> true);
      assertEquals(List.of(PROGRAM), reclaimer.statusQueriesDue(1_600));
      reclaimer.onStatus(PROGRAM, ProgramStatus.LIVE, 2, 1_600);
      assertEquals(List.of(PROGRAM), reclaimer.statusQueriesDue(11_600));
    }
  }

  /**
   * Guards against the loss of an ended status while memory is still held, and against a status
   * table that grows without bound.
   */
  @Test
  void endedStatusExpiresAfterRetentionOnlyIfNothingIsCached() {
    reclaimer.onGrant(ENGINE, PROGRAM);
    reclaimer.onStatus(PROGRAM, ProgramStatus.ENDED, 1, 0);
    reclaimer.expireStatuses(SETTINGS.endedRetentionMs() * 2);
    assertEquals(1, reclaimer.releasesDue(0).size());
    reclaimer.onReleased(ENGINE, PROGRAM);
    reclaimer.expireStatuses(SETTINGS.endedRetentionMs() * 2);
    reclaimer.onGrant(ENGINE, PROGRAM);
    assertEquals(List.of(PROGRAM), reclaimer.statusQueriesDue(0));
  }

  /**
   * Guards against the release of a live program's memory, and against memory of ended programs
   * that is held for longer than the bound. These can result from delayed, lost and reordered
   * events, lost responses, engine restarts and new group owners.
   */
  @Test
  void memoryIsReleasedWithinBoundAndNeverFromLiveProgram() {
    for (long seed = 0; seed < SEQUENCES; seed++) {
      try {
        new Simulation(seed).run();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
  }

  /** One seeded simulation with two engines. */
  private static final class Simulation {
    private static final long STEP_MS = 100;
    private final Random random;
    private final List<EndpointId> engines = List.of(ENGINE, new EndpointId("engine-2"));
    private final Map<EndpointId, Set<ProgramId>> cachedPrograms = new HashMap<>();
    private final Map<EndpointId, Long> sequences = new HashMap<>();
    private final Map<ProgramId, Long> endedAtMs = new HashMap<>();
    private final Set<ProgramId> live = new HashSet<>();
    private final List<CacheEvent> delayedEvents = new ArrayList<>();
    private CacheReclaimer owner = newOwner();
    private long nowMs;
    private long ownerSinceMs;
    private int started;
    private boolean faultsEnabled = true;
    private final boolean responsesLost;

    Simulation(long seed) {
      this.random = new Random(seed);
      this.responsesLost = random.nextBoolean();
      engines.forEach(engine -> cachedPrograms.put(engine, new HashSet<>()));
      engines.forEach(engine -> sequences.put(engine, 0L));
    }

    private CacheReclaimer newOwner() {
      CacheReclaimer created = new CacheReclaimer(SETTINGS);
      engines.forEach(created::addEndpoint);
      return created;
    }

    void run() {
      for (; nowMs < 8_000; nowMs += STEP_MS) {
        performRandomAction();
        exchangeMessages();
        assertReleaseBound();
      }
      faultsEnabled = false;
      for (ProgramId program : new ArrayList<>(live)) {
        end(program);
      }
      for (; nowMs < 8_000 + SETTINGS.listingPeriodMs() + RELEASE_BOUND_MS; nowMs += STEP_MS) {
        exchangeMessages();
      }
      cachedPrograms.forEach(
          (engine, held) -> assertTrue(held.isEmpty(), engine + " holds " + held));
    }

    private void performRandomAction() {
      EndpointId engine = engines.get(random.nextInt(engines.size()));
      switch (random.nextInt(8)) {
        case 0, 1, 2 -> call(engine, new ProgramId("p" + started++));
        case 3 -> live.stream().findAny().ifPresent(program -> call(engine, program));
        case 4, 5 -> live.stream().findAny().ifPresent(this::end);
        case 6 -> cachedPrograms.get(engine).stream().findAny().ifPresent(p -> evict(engine, p));
        default -> injectRareFault(engine);
      }
    }

    private void injectRareFault(EndpointId engine) {
      int kind = random.nextInt(8);
      if (kind == 0) {
        owner = newOwner();
        ownerSinceMs = nowMs;
      } else if (kind == 1) {
        cachedPrograms.get(engine).clear();
        sequences.put(engine, 0L);
      }
    }

    private void call(EndpointId engine, ProgramId program) {
      live.add(program);
      owner.onGrant(engine, program);
      cachedPrograms.get(engine).add(program);
      emit(engine, program, CacheEvent.Kind.STORED);
    }

    private void evict(EndpointId engine, ProgramId program) {
      cachedPrograms.get(engine).remove(program);
      emit(engine, program, CacheEvent.Kind.EVICTED);
    }

    private void emit(EndpointId engine, ProgramId program, CacheEvent.Kind kind) {
      long sequence = sequences.merge(engine, 1L, Long::sum);
      CacheEvent event = new CacheEvent(engine, sequence, program, kind);
      if (!faultsEnabled || random.nextInt(4) != 0) {
        delayedEvents.add(random.nextInt(delayedEvents.size() + 1), event);
      }
    }

    private void end(ProgramId program) {
      live.remove(program);
      endedAtMs.put(program, nowMs);
      owner.onStatus(program, ProgramStatus.ENDED, 1, nowMs);
    }

    private boolean isResponseLost() {
      return faultsEnabled && responsesLost && random.nextInt(4) == 0;
    }

    private void exchangeMessages() {
      for (Iterator<CacheEvent> events = delayedEvents.iterator(); events.hasNext(); ) {
        CacheEvent event = events.next();
        if (!faultsEnabled || random.nextInt(5) == 0) {
          owner.onEvent(event);
          events.remove();
        }
      }
      for (EndpointId engine : owner.listingsDue(nowMs)) {
        if (!isResponseLost()) {
          owner.onListing(
              new CacheListing(engine, sequences.get(engine), cachedPrograms.get(engine)));
        }
      }
      for (ProgramId program : owner.statusQueriesDue(nowMs)) {
        if (!isResponseLost()) {
          boolean isLive = live.contains(program);
          owner.onStatus(program, isLive ? ProgramStatus.LIVE : ProgramStatus.ENDED, 1, nowMs);
        }
      }
      owner.releasesDue(nowMs).forEach(this::release);
    }

    private void release(CacheRelease release) {
      assertFalse(
          live.contains(release.program()), () -> "release for live program " + release.program());
      if (isResponseLost()) {
        return;
      }
      cachedPrograms.get(release.endpoint()).remove(release.program());
      if (!isResponseLost()) {
        owner.onReleased(release.endpoint(), release.program());
      }
    }

    // Delayed and lost events alone must not cause the bound to be exceeded. If a quarter of all
    // responses is lost, some releases need more attempts than fit into the bound, so ten retries
    // are added: ten losses in a row occur in about one of a million cases.
    private void assertReleaseBound() {
      long boundMs = RELEASE_BOUND_MS + (responsesLost ? 10 * SETTINGS.retryIntervalMs() : 0);
      for (Set<ProgramId> held : cachedPrograms.values()) {
        for (ProgramId program : held) {
          Long programEndedAtMs = endedAtMs.get(program);
          boolean overdue =
              programEndedAtMs != null
                  && nowMs - Math.max(programEndedAtMs, ownerSinceMs) > boundMs;
          assertFalse(
              overdue,
              () ->
                  program
                      + " ended at "
                      + programEndedAtMs
                      + " ms is still held at "
                      + nowMs
                      + " ms");
        }
      }
    }
  }
}
