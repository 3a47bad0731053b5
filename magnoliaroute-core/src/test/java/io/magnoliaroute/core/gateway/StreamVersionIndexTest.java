package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against a stream that is resumed at the version of another stream. */
@DisplayName("The index of stream versions")
class StreamVersionIndexTest {

  private static final ServiceVersion OLD = new ServiceVersion("s", "v1");
  private static final ServiceVersion NEW = new ServiceVersion("s", "v2");

  private final StreamVersionIndex index = new StreamVersionIndex();

  @Test
  @DisplayName("finds the version of a stream of the same service only")
  void sameService() {
    index.add("a", OLD, 0);

    assertEquals(Optional.of("v1"), index.find("a", "s"));
    assertEquals(Optional.empty(), index.find("a", "t"));
    assertEquals(Optional.empty(), index.find("b", "s"));
  }

  @Test
  @DisplayName("finds no version for an id that streams of two versions have")
  void ambiguousId() {
    index.add("a", OLD, 0);
    index.add("a", NEW, 1);
    index.add("a", OLD, 2);

    assertTrue(index.contains("a"));
    assertEquals(Optional.empty(), index.find("a", "s"));
  }

  @Test
  @DisplayName("drops streams that can no longer be resumed")
  void expiry() {
    index.add("a", OLD, 0);
    index.add("b", OLD, ServiceVersions.STREAM_LIFETIME_MS - 1);
    assertTrue(index.contains("a"));

    index.add("c", OLD, ServiceVersions.STREAM_LIFETIME_MS);
    assertFalse(index.contains("a"));
    assertTrue(index.contains("b"));
  }

  @Test
  @DisplayName("lists the recent streams of a service")
  void recentStreams() {
    index.add("a", OLD, 0);
    index.add("b", OLD, 10);
    index.add("c", new ServiceVersion("t", "v1"), 10);

    assertEquals(
        List.of(new StreamVersionIndex.BegunStream("b", OLD, 10)), index.begunSince("s", 5));
  }
}
