package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against message types that are sent to a VM of an earlier release, which closes the
 * connection at them.
 */
@DisplayName("The entry of a VM")
class VmEntryTest {

  private static final VmId VM = new VmId("vm-1");
  private static final HostPort ADDRESS = new HostPort("10.0.0.1", 80);

  @Test
  @DisplayName("names the version of the protocol between VMs and the processor share")
  void roundTrip() throws MalformedRecordException {
    VmEntry entry = new VmEntry(VM, ADDRESS, "dc", 2, 0.252);
    assertEquals(entry, VmEntry.decode("vm-1", entry.encode()));
  }

  @Test
  @DisplayName("is of the first version if an earlier release wrote it")
  void earlierRelease() throws MalformedRecordException {
    Bytes written = new FieldWriter().put(1, "10.0.0.1").put(2, 80).put(3, "dc").toBytes();
    assertEquals(new VmEntry(VM, ADDRESS, "dc", 1, 0), VmEntry.decode("vm-1", written));
  }
}
