package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.settings.HostPort;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against limits that end too soon, or that outlive the start of their endpoint. */
@DisplayName("The limit of an endpoint")
class RequestLimitsTest {

  private static final EndpointId ID = new EndpointId("e1");

  private final RequestLimits limits = new RequestLimits();

  private static EndpointEntry entry(long startedAtMs) {
    return new EndpointEntry(
        ID, "s", new HostPort("10.0.0.1", 80), "dc", 4, false, startedAtMs, 1, "v1");
  }

  @Test
  @DisplayName("is not ended by a response to a request from before it was known")
  void earlierResponse() {
    limits.apply(new RequestLimit(ID, 1, 5), 100);

    assertFalse(limits.endByResponse(entry(1), 90));
    assertTrue(limits.find(entry(1)).isPresent());
    assertTrue(limits.endByResponse(entry(1), 110));
    assertEquals(Optional.empty(), limits.find(entry(1)));
  }

  @Test
  @DisplayName("does not apply to another start with the same id")
  void otherStart() {
    limits.apply(new RequestLimit(ID, 2, 5), 0);

    assertEquals(Optional.empty(), limits.find(entry(3)));
    assertFalse(limits.apply(new RequestLimit(ID, 1, 7), 10));
    assertFalse(limits.endByResponse(entry(1), 20));
    assertFalse(limits.end(ID, 1));
    assertEquals(5, limits.find(entry(2)).orElseThrow().requestsPerS());
  }

  @Test
  @DisplayName("keeps the time until which it is used up when its value changes")
  void changedValue() {
    limits.apply(new RequestLimit(ID, 1, 5), 0);
    limits.markExhausted(entry(1), 50);
    limits.apply(new RequestLimit(ID, 1, 6), 10);

    assertEquals(50, limits.exhaustedUntilMs(entry(1)));
    assertTrue(limits.exhaustedUntilMs(entry(2)) < 0);
  }

  @Test
  @DisplayName("must be a number that is not negative")
  void invalidValue() {
    assertThrows(IllegalArgumentException.class, () -> new RequestLimit(ID, 1, -1));
    assertThrows(IllegalArgumentException.class, () -> new RequestLimit(ID, 1, Double.NaN));
    assertThrows(
        IllegalArgumentException.class, () -> new RequestLimit(ID, 1, Double.POSITIVE_INFINITY));
  }
}
