package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;

/**
 * A VM's registration, which other VMs read to connect to it.
 *
 * @param vm the id of the VM
 * @param address the address that the VM listens on for peers
 * @param dataCentre the data centre that the VM runs in
 */
public record VmEntry(VmId vm, HostPort address, String dataCentre) {

  private static final int HOST = 1;
  private static final int PORT = 2;
  private static final int DATA_CENTRE = 3;
  private static final int MAX_PORT = 65_535;

  /** Encodes the value that is stored under the VM's key. */
  public Bytes encode() {
    return new FieldWriter()
        .put(HOST, address.host())
        .put(PORT, address.port())
        .put(DATA_CENTRE, dataCentre)
        .toBytes();
  }

  /** Decodes the value that is stored under a VM's key. */
  public static VmEntry decode(String key, Bytes value) throws MalformedRecordException {
    FieldReader reader = FieldReader.of("VM '" + key + "'", value);
    return new VmEntry(
        new VmId(key),
        new HostPort(reader.string(HOST, "host"), (int) reader.integer(PORT, "port", 1, MAX_PORT)),
        reader.string(DATA_CENTRE, "data centre"));
  }
}
