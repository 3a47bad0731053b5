package io.magnoliaroute.core.gateway.history;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;

/**
 * The registration of a VM that may hold records of kept turns that are not stored yet. It is
 * removed when the VM stops after all its records have been stored, so an entry of an earlier start
 * says that this start may have ended with records that nobody has any more.
 *
 * @param vm the VM
 * @param startId identifies the start of the VM that wrote the entry
 */
public record HolderEntry(VmEntry vm, String startId) {

  private static final int VM = 1;
  private static final int START_ID = 2;

  /** Encodes the value that is stored under the VM's name. */
  public Bytes encode() {
    return new FieldWriter().put(VM, vm.encode()).put(START_ID, startId).toBytes();
  }

  /** Decodes the value that is stored under a VM's name. */
  public static HolderEntry decode(String key, Bytes value) throws MalformedRecordException {
    FieldReader reader = FieldReader.of("holder '" + key + "'", value);
    return new HolderEntry(
        VmEntry.decode(key, reader.bytes(VM, "VM")), reader.string(START_ID, "start id"));
  }
}
