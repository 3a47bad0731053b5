package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.settings.HostPort;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that wait at an endpoint that is full, slow, unreachable or without the
 * prompt's prefix while a better one is available.
 */
@DisplayName("The choice of an endpoint")
class EndpointPickerTest {

  private static final int SLOTS = 4;

  private final EndpointDirectory directory = new EndpointDirectory(0);
  private final EndpointLoadTracker loads = new EndpointLoadTracker();
  private final PrefixCacheIndex prefixes = new PrefixCacheIndex(16);
  private final EndpointSelector picker =
      new EndpointSelector(directory, loads, prefixes, new ServiceTimeAverages(), "here");
  private final EndpointEntry first = add("e1", "here");
  private final EndpointEntry second = add("e2", "here");

  private EndpointEntry add(String id, String dataCentre) {
    EndpointEntry entry =
        new EndpointEntry(
            new EndpointId(id), "s", new HostPort("10.0.0.1", 80), dataCentre, SLOTS, false, 1, 1);
    directory.apply(entry);
    return entry;
  }

  private static RequestMetadata call(String requestId, RequestMetadata.PromptSegment... prefix) {
    return new RequestMetadata(
        requestId,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        0,
        0,
        List.of(prefix),
        Optional.empty());
  }

  private void assertAllRoutedTo(EndpointEntry expected, RequestMetadata.PromptSegment... prefix) {
    for (int i = 0; i < 50; i++) {
      assertEquals(
          Optional.of(expected),
          picker.select("s", call("r" + i, prefix), Set.of(), 0),
          "call " + i);
    }
  }

  @Test
  @DisplayName("passes over an endpoint whose slots are taken")
  void full() {
    for (int i = 0; i < SLOTS + 1; i++) {
      loads.requestStarted(first.id());
    }

    assertAllRoutedTo(second);
  }

  @Test
  @DisplayName("passes over an endpoint that reports a slow moment")
  void slow() {
    loads.recordReport(first.id(), new EndpointLoadTracker.Report(0, 0, SLOTS, 2.5), 0);

    assertAllRoutedTo(second);
  }

  @Test
  @DisplayName("passes over the neighbours of a lost endpoint until they accept a connection")
  void doubted() {
    EndpointEntry elsewhere = add("e3", "there");
    loads.markUnreachable(first.id(), 0);
    loads.markSuspect(second.id());

    assertAllRoutedTo(elsewhere);

    loads.markReachable(second.id());
    assertAllRoutedTo(second);
  }

  @Test
  @DisplayName("uses an endpoint in doubt where there is no other")
  void onlyDoubted() {
    loads.markUnreachable(first.id(), 0);
    loads.markSuspect(second.id());

    assertAllRoutedTo(second);
  }

  @Test
  @DisplayName("returns to an endpoint whose slow moment was reported long ago")
  void slowLongAgo() {
    loads.recordReport(
        first.id(),
        new EndpointLoadTracker.Report(0, 0, SLOTS, 2.5),
        -EndpointLoadTracker.REPORT_MAX_AGE_MS);
    for (int i = 0; i < SLOTS + 1; i++) {
      loads.requestStarted(second.id());
    }

    assertAllRoutedTo(first);
  }

  @Test
  @DisplayName("prefers the endpoint that has read the prompt's prefix")
  void prefix() {
    RequestMetadata.PromptSegment segment = new RequestMetadata.PromptSegment("a", 12_600);
    prefixes.recordProcessed(List.of(segment), second);

    assertAllRoutedTo(second, segment);
  }

  @Test
  @DisplayName("avoids a lost endpoint, but not when it is the last one")
  void unreachable() {
    loads.markUnreachable(first.id(), 0);
    assertAllRoutedTo(second);

    assertEquals(Optional.of(first), picker.select("s", call("r"), Set.of(second.id()), 0));
  }

  @Test
  @DisplayName("finds nothing when every endpoint has failed the request")
  void allFailed() {
    assertTrue(picker.select("s", call("r"), Set.of(first.id(), second.id()), 0).isEmpty());
  }
}
