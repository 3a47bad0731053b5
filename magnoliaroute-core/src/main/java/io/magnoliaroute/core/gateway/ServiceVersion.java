package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Hashing;

/**
 * A software version of the endpoints of a service.
 *
 * @param service the name of the service
 * @param softwareVersion the version
 */
public record ServiceVersion(String service, String softwareVersion) {

  private static final int SERVICE = 1;
  private static final int SOFTWARE_VERSION = 2;

  /** Returns the key under which the version is stored; its length does not depend on the names. */
  public String key() {
    return Long.toHexString(Hashing.fnv1a64(service))
        + Long.toHexString(Hashing.fnv1a64(softwareVersion));
  }

  /** Encodes the version as the value of a record. */
  public Bytes encode() {
    return new FieldWriter().put(SERVICE, service).put(SOFTWARE_VERSION, softwareVersion).toBytes();
  }

  /** Decodes the value of the record with the given key. */
  public static ServiceVersion decode(String key, Bytes value) throws MalformedRecordException {
    FieldReader reader = FieldReader.of("version '" + key + "'", value);
    return new ServiceVersion(
        reader.string(SERVICE, "service"), reader.string(SOFTWARE_VERSION, "software version"));
  }
}
