package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.VmId;
import java.util.Objects;

/**
 * Identifies one incarnation of a VM as a writer. A VM gets a higher incarnation when it restarts
 * or was paused for longer than its suspicion timeout.
 *
 * @param vm the VM
 * @param incarnation the incarnation of the VM, never negative
 */
public record WriterId(VmId vm, long incarnation) {

  /** Rejects a null VM and a negative incarnation. */
  public WriterId {
    Objects.requireNonNull(vm, "vm");
    if (incarnation < 0) {
      throw new IllegalArgumentException("incarnation must not be negative, was " + incarnation);
    }
  }

  @Override
  public String toString() {
    return vm + "#" + incarnation;
  }
}
