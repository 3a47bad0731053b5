package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.settings.HostPort;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against a version that is taken for the only one while streams of another are left. */
@DisplayName("The versions of a service")
class ServiceVersionsTest {

  private static final ServiceVersion OLD = new ServiceVersion("s", "v1");
  private static final ServiceVersion NEW = new ServiceVersion("s", "v2");

  private final ServiceVersions versions = new ServiceVersions();

  private static EndpointEntry entry(String id, String softwareVersion) {
    return new EndpointEntry(
        new EndpointId(id), "s", new HostPort("h", 80), "dc", 4, false, 1, 1, softwareVersion);
  }

  @Test
  @DisplayName("are not known to be one until the stored ones have been read")
  void storedVersionsUnknown() {
    versions.observe(List.of(entry("e2", "v2")), 0);
    assertEquals(Optional.empty(), versions.onlyVersion("s"));

    versions.applyStored(List.of(NEW), 10);
    assertEquals(Optional.of("v2"), versions.onlyVersion("s"));
  }

  @Test
  @DisplayName("include a stored one without endpoints for as long as a stream may last")
  void storedVersionWithoutEndpoints() {
    versions.applyStored(List.of(OLD, NEW), 0);
    versions.observe(List.of(entry("e2", "v2")), 100);
    assertEquals(Optional.empty(), versions.onlyVersion("s"));

    versions.observe(List.of(entry("e2", "v2")), ServiceVersions.STREAM_LIFETIME_MS - 1);
    assertEquals(List.of(), versions.removeExpired(ServiceVersions.STREAM_LIFETIME_MS - 1));
    assertEquals(List.of(OLD), versions.removeExpired(ServiceVersions.STREAM_LIFETIME_MS));
    assertEquals(Optional.of("v2"), versions.onlyVersion("s"));
  }

  @Test
  @DisplayName("are stored once each, and again after they had expired")
  void unstoredVersions() {
    versions.applyStored(List.of(OLD), 0);
    assertEquals(Set.of("s"), versions.observe(List.of(entry("e2", "v2")), 0));
    assertEquals(Set.of(), versions.observe(List.of(entry("e2", "v2")), 1));
    assertEquals(List.of(NEW), versions.unstored());
    versions.markStored(NEW);
    assertEquals(List.of(), versions.unstored());

    versions.removeExpired(100_000);
    versions.observe(List.of(entry("e2", "v2")), 100_001);
    assertEquals(List.of(NEW), versions.unstored());
  }

  @Test
  @DisplayName("are settled when this VM starts, and 2 s after a new one appears")
  void settling() {
    versions.observe(List.of(entry("e1", "v1")), 0);
    assertTrue(versions.isSettled(entry("e1", "v1"), 0));

    versions.observe(List.of(entry("e1", "v1"), entry("e2", "v2")), 1_000);
    assertFalse(versions.isSettled(entry("e2", "v2"), 2_999));
    assertTrue(versions.isSettled(entry("e2", "v2"), 3_000));
  }

  @Test
  @DisplayName("of other services do not count")
  void otherService() {
    versions.applyStored(List.of(OLD, new ServiceVersion("t", "v2")), 0);

    assertEquals(Optional.of("v1"), versions.onlyVersion("s"));
    assertEquals(Optional.empty(), versions.onlyVersion("unknown"));
  }

  @Test
  @DisplayName("survive a round trip through a record")
  void roundTrip() throws MalformedRecordException {
    ServiceVersion version = new ServiceVersion("s/\u00fc", "v 1.2");
    assertEquals(version, ServiceVersion.decode(version.key(), version.encode()));
  }
}
