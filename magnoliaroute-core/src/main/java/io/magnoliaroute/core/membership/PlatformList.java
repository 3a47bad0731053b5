package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.List;

/**
 * One answer of the platform's VM list, which may lag behind.
 *
 * @param version from 0; grows with each change of the list; an answer that is not newer changes
 *     nothing
 * @param vms the VMs that the platform names
 */
public record PlatformList(long version, List<PlatformVm> vms) {

  /** Copies the list and rejects a negative version. */
  public PlatformList {
    if (version < 0) {
      throw new IllegalArgumentException("version must not be negative, was " + version);
    }
    vms = List.copyOf(vms);
  }

  /**
   * One VM of the list.
   *
   * @param vm the VM
   * @param address where its peers reach it
   * @param leaving whether the platform is about to stop it
   */
  public record PlatformVm(VmId vm, PeerAddress address, boolean leaving) {}
}
