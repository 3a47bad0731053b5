package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import java.util.Objects;

/**
 * The properties of a VM that do not change while its process runs.
 *
 * @param vm the VM
 * @param dataCentre the data centre in which the VM runs
 * @param region the region of the data centre
 * @param address the address at which peers reach the VM
 */
public record MemberInfo(VmId vm, DataCentreId dataCentre, RegionId region, PeerAddress address) {

  /** Rejects null components. */
  public MemberInfo {
    Objects.requireNonNull(vm, "vm");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(address, "address");
  }
}
