package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The limiter of connections")
class ConnectionLimiterTest {

  private final List<String> closed = new ArrayList<>();
  private final ConnectionLimiter<String> limiter = new ConnectionLimiter<>(2, closed::add);

  @Test
  @DisplayName("closes the connection that has been silent for longest")
  void closesLongestSilent() {
    limiter.add("first");
    limiter.add("second");
    limiter.recordActivity("first");
    limiter.add("third");
    assertEquals(List.of("second"), closed);
  }

  @Test
  @DisplayName("does not count connections that have been closed or removed")
  void ignoresRemoved() {
    limiter.add("first");
    limiter.add("second");
    limiter.remove("first");
    limiter.recordActivity("first");
    limiter.add("third");
    assertEquals(List.of(), closed);
    limiter.add("fourth");
    assertEquals(List.of("second"), closed);
  }
}
