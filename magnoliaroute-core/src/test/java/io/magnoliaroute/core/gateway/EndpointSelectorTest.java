package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.VmId;
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
@DisplayName("An endpoint selector")
class EndpointSelectorTest {

  private static final int SLOTS = 4;

  private static final RequestMetadata.PromptSegment PREFIX_SEGMENT =
      new RequestMetadata.PromptSegment("p", 10_000);
  private static final List<RequestMetadata.PromptSegment> PREFIX = List.of(PREFIX_SEGMENT);

  private final EndpointDirectory directory = new EndpointDirectory();
  private final EndpointLoadTracker loads = new EndpointLoadTracker();
  private final PrefixCacheIndex prefixes = new PrefixCacheIndex(16);
  private final RequestLimits limits = new RequestLimits();
  private final EndpointPaths paths = new EndpointPaths(new VmId("vm"), "here");
  private final EndpointSelector selector =
      new EndpointSelector(directory, loads, prefixes, new ServiceTimeAverages(), limits, paths);
  private final EndpointEntry first = add("e1", "here");
  private final EndpointEntry second = add("e2", "here");

  private EndpointEntry add(String id, String dataCentre) {
    EndpointEntry entry =
        new EndpointEntry(
            new EndpointId(id),
            "s",
            new HostPort("10.0.0.1", 80),
            dataCentre,
            SLOTS,
            false,
            1,
            1,
            "v1");
    directory.apply(entry);
    return entry;
  }

  private static RequestMetadata request(
      String requestId, RequestMetadata.PromptSegment... prefix) {
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
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty());
  }

  private void assertAllRoutedTo(EndpointEntry expected, RequestMetadata.PromptSegment... prefix) {
    for (int i = 0; i < 50; i++) {
      assertEquals(
          Optional.of(expected),
          selector.select("s", request("r" + i, prefix), Set.of(), 0),
          "request " + i);
    }
  }

  @Test
  @DisplayName("prefers an endpoint that it reaches directly to one behind another VM")
  void directPath() {
    HostPort address = new HostPort("10.0.0.7", 80);
    paths.markDirectLost(first.id(), 0);
    paths.useRelay(first.id(), new VmEntry(new VmId("relay"), address, "there"));
    for (int i = 0; i < 20; i++) {
      assertEquals(second, selector.select("s", request("r" + i), Set.of(), 0).orElseThrow());
    }
  }

  @Test
  @DisplayName("avoids an endpoint without free slots")
  void full() {
    for (int i = 0; i < SLOTS + 1; i++) {
      loads.recordRequestStart(first.id());
    }

    assertAllRoutedTo(second);
  }

  @Test
  @DisplayName("avoids an endpoint that reports a slowdown")
  void slow() {
    loads.recordReport(first.id(), new EndpointLoadTracker.Report(0, 0, SLOTS, 2.5), 0);

    assertAllRoutedTo(second);
  }

  @Test
  @DisplayName("avoids suspect endpoints until they accept a connection")
  void suspect() {
    EndpointEntry remote = add("e3", "there");
    loads.markUnreachable(first.id(), 0);
    loads.markSuspect(second.id());

    assertAllRoutedTo(remote);

    loads.markReachable(second.id());
    assertAllRoutedTo(second);
  }

  @Test
  @DisplayName("selects a suspect endpoint if all others are unreachable")
  void onlySuspect() {
    loads.markUnreachable(first.id(), 0);
    loads.markSuspect(second.id());

    assertAllRoutedTo(second);
  }

  @Test
  @DisplayName("ignores a slowdown report that has expired")
  void expiredReport() {
    loads.recordReport(
        first.id(),
        new EndpointLoadTracker.Report(0, 0, SLOTS, 2.5),
        -EndpointLoadTracker.REPORT_MAX_AGE_MS);
    for (int i = 0; i < SLOTS + 1; i++) {
      loads.recordRequestStart(second.id());
    }

    assertAllRoutedTo(first);
  }

  @Test
  @DisplayName("prefers the endpoint that has processed the prompt's prefix")
  void prefix() {
    RequestMetadata.PromptSegment segment = new RequestMetadata.PromptSegment("a", 12_600);
    prefixes.recordProcessed(List.of(segment), second);

    assertAllRoutedTo(second, segment);
  }

  @Test
  @DisplayName("avoids an unreachable endpoint unless it is the only one left")
  void unreachable() {
    loads.markUnreachable(first.id(), 0);
    assertAllRoutedTo(second);

    assertEquals(Optional.of(first), selector.select("s", request("r"), Set.of(second.id()), 0));
  }

  @Test
  @DisplayName("returns empty if the request has failed on every endpoint")
  void allFailed() {
    assertTrue(selector.select("s", request("r"), Set.of(first.id(), second.id()), 0).isEmpty());
  }

  @Test
  @DisplayName("passes over an endpoint whose request limit is used up")
  void usedUpLimit() {
    limits.apply(new RequestLimit(first.id(), 1, 5), 0);
    limits.markExhausted(first, 100);

    assertAllRoutedTo(second);
  }

  @Test
  @DisplayName("waits for a permit for as long as another endpoint would cost more")
  void permitDelay() {
    prefixes.recordProcessed(PREFIX, first);
    limits.apply(new RequestLimit(first.id(), 1, 5), 0);
    limits.markExhausted(first, 50);

    EndpointSelector.Selection selection =
        selector
            .select("s", request("r", PREFIX_SEGMENT), any -> true, any -> true, 0)
            .orElseThrow();

    assertEquals(first, selection.endpoint());
    assertEquals(50, selection.permitDelayMs());
    assertTrue(selection.maxPermitDelayMs() > 150, selection.toString());
    limits.markExhausted(first, selection.maxPermitDelayMs() + 20);
    assertAllRoutedTo(second, PREFIX_SEGMENT);
  }

  @Test
  @DisplayName("selects no unreachable endpoint while another one only has no permit left")
  void usedUpLimitBesideUnreachableEndpoint() {
    loads.markUnreachable(second.id(), 0);
    limits.apply(new RequestLimit(first.id(), 1, 5), 0);
    limits.markExhausted(first, 100);

    assertAllRoutedTo(first);
    EndpointSelector.Selection only =
        selector.select("s", request("r"), any -> true, any -> true, 0).orElseThrow();
    assertTrue(only.maxPermitDelayMs() > 10_000, only.toString());
  }
}
