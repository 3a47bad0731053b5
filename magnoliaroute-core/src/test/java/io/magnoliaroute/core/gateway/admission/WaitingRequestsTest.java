package io.magnoliaroute.core.gateway.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.gateway.admission.WaitingRequests.Entry;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against requests that overtake more urgent ones, and against entries that are kept. */
@DisplayName("Waiting requests")
class WaitingRequestsTest {

  private final WaitingRequests<String> waiting = new WaitingRequests<>();

  private Entry<String> add(String name, String workspace, int rank, boolean isNew, long atMs) {
    return waiting.add(
        new AdmissionRequest(
            "s", "r", workspace, rank, isNew, 200, 5, atMs, 3_000, OptionalLong.empty(), 1, 0),
        1_000,
        name);
  }

  private List<String> order() {
    return waiting.inOrder("s").stream().map(Entry::resumption).toList();
  }

  @Test
  @DisplayName("are served by rank, then started programs first, then by arrival")
  void rankPhaseArrival() {
    add("low", "a", 2, false, 1);
    add("new", "b", 0, true, 2);
    add("late", "c", 0, false, 4);
    add("early", "d", 0, false, 3);

    assertEquals(List.of("early", "late", "new", "low"), order());
  }

  @Test
  @DisplayName("of a workspace with many do not delay those of another one")
  void workspacesTakeTurns() {
    add("a1", "a", 0, true, 1);
    add("a2", "a", 0, true, 2);
    add("a3", "a", 0, true, 3);
    add("b1", "b", 0, true, 4);

    assertEquals(List.of("a1", "b1", "a2", "a3"), order());
  }

  @Test
  @DisplayName("leave nothing behind once they are removed, even twice")
  void removal() {
    Entry<String> entry = add("a", "a", 0, true, 1);
    waiting.remove(entry);
    waiting.remove(entry);

    assertEquals(0, waiting.size());
    assertEquals(List.of(), waiting.services());
  }
}
