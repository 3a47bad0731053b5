package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.List;

/**
 * One response of the platform's VM list, which may be out of date.
 *
 * @param version starts at 0 and grows with each change of the list; a list whose version is not
 *     newer is ignored
 * @param vms the VMs that the platform lists
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
   * One VM in the list.
   *
   * @param vm the VM
   * @param address the address at which peers reach the VM
   * @param leaving whether the platform is about to stop the VM
   */
  public record PlatformVm(VmId vm, PeerAddress address, boolean leaving) {}
}
