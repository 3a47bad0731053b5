package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordSequence;
import java.util.Objects;

/**
 * What a VM holds of a partition that it owns or wants to own.
 *
 * @param reader follows the stream
 * @param lease the VM's view of its claim
 * @param ids gives out the ids of the records that the VM appends to the stream
 */
public record PartitionOwner(PartitionReader reader, PartitionLease lease, RecordSequence ids) {

  /** Rejects missing parts. */
  public PartitionOwner {
    Objects.requireNonNull(reader, "reader");
    Objects.requireNonNull(lease, "lease");
    Objects.requireNonNull(ids, "ids");
  }
}
