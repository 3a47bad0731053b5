package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;

/**
 * A VM as it describes itself to the others.
 *
 * @param vm the VM
 * @param address where it listens for peers
 * @param dataCentre where it stands
 */
public record VmEntry(VmId vm, HostPort address, String dataCentre) {

  private static final int HOST = 1;
  private static final int PORT = 2;
  private static final int DATA_CENTRE = 3;
  private static final int MAX_PORT = 65_535;

  /** Returns the value that is kept under the VM's key. */
  public Bytes encode() {
    return new FieldWriter()
        .put(HOST, address.host())
        .put(PORT, address.port())
        .put(DATA_CENTRE, dataCentre)
        .toBytes();
  }

  /** Decodes the value that is kept under a VM's key. */
  public static VmEntry decode(String key, Bytes value) throws MalformedRecordException {
    FieldReader reader = FieldReader.of("VM '" + key + "'", value);
    return new VmEntry(
        new VmId(key),
        new HostPort(reader.text(HOST, "host"), (int) reader.integer(PORT, "port", 1, MAX_PORT)),
        reader.text(DATA_CENTRE, "data centre"));
  }
}
