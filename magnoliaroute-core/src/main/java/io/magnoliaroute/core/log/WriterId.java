package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.VmId;
import java.util.Objects;

/**
 * Identifies one run of one VM as a writer. A VM that restarts, or that was paused longer than its
 * suspicion time, writes under a higher incarnation.
 *
 * @param vm the VM
 * @param incarnation the run of the VM, never negative
 */
public record WriterId(VmId vm, long incarnation) {

  /** Rejects a missing VM and a negative incarnation. */
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
