package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordIdGenerator;
import java.util.Objects;

/**
 * The objects through which a VM reads, claims and writes a partition.
 *
 * @param reader the reader of the partition's stream
 * @param lease the VM's lease on the partition
 * @param ids the generator of ids for the records that the VM appends to the stream
 */
public record PartitionOwner(PartitionReader reader, PartitionLease lease, RecordIdGenerator ids) {

  /** Rejects null components. */
  public PartitionOwner {
    Objects.requireNonNull(reader, "reader");
    Objects.requireNonNull(lease, "lease");
    Objects.requireNonNull(ids, "ids");
  }
}
