package io.magnoliaroute.core.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class IdleProgramsTest {

  private static final long TIMEOUT_MS = 1_000;

  private final IdlePrograms programs = new IdlePrograms();

  /**
   * Guards against programs that hold engine memory forever after their caller disappeared (G4).
   */
  @Test
  void programWithoutCallsForTheTimeoutIsIdle() {
    assertEquals(List.of(), idle(Set.of(), 0, program("a", 1, null)));
    assertEquals(List.of(), idle(Set.of(), TIMEOUT_MS - 1, program("a", 1, null)));
    assertEquals(List.of("a"), idle(Set.of(), TIMEOUT_MS, program("a", 1, null)));
  }

  /** Guards against ending an active program between two turns. */
  @Test
  void changeRestartsTheIdleTime() {
    idle(Set.of(), 0, program("a", 1, null));
    idle(Set.of(), TIMEOUT_MS - 1, program("a", 2, null));
    assertEquals(List.of(), idle(Set.of(), TIMEOUT_MS, program("a", 2, null)));
  }

  /** Guards against ending a program during a long streaming response. */
  @Test
  void programWithARunningCallIsNotIdle() {
    idle(Set.of(), 0, program("a", 1, null));
    assertEquals(List.of(), idle(Set.of("a"), TIMEOUT_MS, program("a", 1, null)));
    assertEquals(List.of(), idle(Set.of(), TIMEOUT_MS + 1, program("a", 1, null)));
  }

  /** Guards against ending a program that is waiting for its sub-agent. */
  @Test
  void parentOfALiveSubAgentIsNotIdle() {
    idle(Set.of(), 0, program("a", 1, null), program("b", 2, "a"));
    assertEquals(
        List.of("b"), idle(Set.of(), TIMEOUT_MS, program("a", 1, null), program("b", 2, "a")));
  }

  private List<String> idle(Set<String> busy, long nowMs, ProgramView... live) {
    return programs
        .findIdle(List.of(live), id -> busy.contains(id.value()), view -> TIMEOUT_MS, nowMs)
        .stream()
        .map(view -> view.id().value())
        .toList();
  }

  private static ProgramView program(String id, long changedAtOffset, String parent) {
    return new ProgramView(
        new ProgramId(id),
        new TeamId("team"),
        PriorityClass.NORMAL,
        0,
        0,
        Optional.ofNullable(parent).map(ProgramId::new),
        Optional.empty(),
        List.of(),
        0,
        0,
        0,
        changedAtOffset);
  }
}
