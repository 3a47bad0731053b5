package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordSequence;
import java.util.Objects;

/**
 * The objects through which a VM reads, claims and writes a partition.
 *
 * @param reader the reader of the partition's stream
 * @param lease the VM's lease on the partition
 * @param ids the sequence of ids for records that the VM appends to the stream
 */
public record PartitionOwner(PartitionReader reader, PartitionLease lease, RecordSequence ids) {

  /** Rejects null components. */
  public PartitionOwner {
    Objects.requireNonNull(reader, "reader");
    Objects.requireNonNull(lease, "lease");
    Objects.requireNonNull(ids, "ids");
  }
}
