package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import java.util.Objects;

/**
 * What does not change during one life of a VM.
 *
 * @param vm the VM
 * @param dataCentre where it runs
 * @param region the region of the data centre
 * @param address where its peers reach it
 */
public record MemberInfo(VmId vm, DataCentreId dataCentre, RegionId region, PeerAddress address) {

  /** Rejects missing parts. */
  public MemberInfo {
    Objects.requireNonNull(vm, "vm");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(address, "address");
  }
}
