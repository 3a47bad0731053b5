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
 * @param peerProtocol the newest version of the protocol between VMs that the VM understands
 * @param cpuCores the processor share of the VM in cores of usual speed; 0 if unknown
 */
public record VmEntry(
    VmId vm, HostPort address, String dataCentre, int peerProtocol, double cpuCores) {

  /**
   * The version of the protocol between VMs that this build understands. A VM closes the connection
   * at a message type that it does not know, so newer types are sent only to VMs that name a
   * version that has them. Version 2 adds quota permits, kept turns and shared loads.
   */
  public static final int CURRENT_PROTOCOL = 2;

  /** The version of VMs that name none. */
  private static final int FIRST_PROTOCOL = 1;

  private static final int HOST = 1;
  private static final int PORT = 2;
  private static final int DATA_CENTRE = 3;
  private static final int PROTOCOL = 4;
  private static final int CPU_MILLICORES = 5;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_PROTOCOL = 1_000_000;
  private static final int MAX_MILLICORES = 1_000_000;
  private static final double MILLICORES = 1_000;

  /** Creates the entry of a VM of which only the address is known. */
  public VmEntry(VmId vm, HostPort address, String dataCentre) {
    this(vm, address, dataCentre, FIRST_PROTOCOL, 0);
  }

  /** Encodes the value that is stored under the VM's key. */
  public Bytes encode() {
    return new FieldWriter()
        .put(HOST, address.host())
        .put(PORT, address.port())
        .put(DATA_CENTRE, dataCentre)
        .put(PROTOCOL, peerProtocol)
        .put(CPU_MILLICORES, Math.round(cpuCores * MILLICORES))
        .toBytes();
  }

  /** Decodes the value that is stored under a VM's key. */
  public static VmEntry decode(String key, Bytes value) throws MalformedRecordException {
    FieldReader reader = FieldReader.of("VM '" + key + "'", value);
    return new VmEntry(
        new VmId(key),
        new HostPort(reader.string(HOST, "host"), (int) reader.integer(PORT, "port", 1, MAX_PORT)),
        reader.string(DATA_CENTRE, "data centre"),
        reader.has(PROTOCOL)
            ? (int) reader.integer(PROTOCOL, "peer protocol", FIRST_PROTOCOL, MAX_PROTOCOL)
            : FIRST_PROTOCOL,
        reader.has(CPU_MILLICORES)
            ? reader.integer(CPU_MILLICORES, "processor share", 0, MAX_MILLICORES) / MILLICORES
            : 0);
  }
}
