package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordIdGenerator;
import io.magnoliaroute.core.log.WriterId;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * A writer's local lease on a partition, derived from its claim in the stream.
 *
 * <p>The lease is valid while a recent read to the end of the stream shows the writer's claim as
 * the current one. Its duration is measured from before that read was issued, so that neither a
 * slow read nor a process pause extends it. The lease does not prevent other writers from claiming
 * the partition; it limits how long an owner acts before it detects another claim.
 */
public final class PartitionLease {

  /** The status of the writer's claim. */
  public enum Status {
    /** The writer has made no claim. */
    NOT_CLAIMED,
    /** The claim was made but has not been read back. */
    CLAIMING,
    /** The claim is the current one in the records read so far. */
    HELD,
    /** Another claim is the current one; the writer must claim again to continue. */
    LOST
  }

  private final WriterId writer;
  private final PartitionReader reader;
  private final long leaseMs;
  private long epoch;

  /**
   * Creates a lease.
   *
   * @param writer the writer that makes the claims
   * @param reader the reader of the partition
   * @param leaseMs the duration of the lease
   */
  public PartitionLease(WriterId writer, PartitionReader reader, long leaseMs) {
    this.writer = Objects.requireNonNull(writer, "writer");
    this.reader = Objects.requireNonNull(reader, "reader");
    if (leaseMs < 1) {
      throw new IllegalArgumentException("leaseMs must be positive, was " + leaseMs);
    }
    this.leaseMs = leaseMs;
  }

  /** Returns a claim whose epoch is higher than all epochs read so far; the caller appends it. */
  public ProgramRecord.Claim nextClaim(RecordIdGenerator ids) {
    if (!ids.writer().equals(writer)) {
      throw new IllegalArgumentException(
          "record ids must belong to writer " + writer + ", were of " + ids.writer());
    }
    epoch = Math.max(epoch, reader.state().claim().map(ClaimView::epoch).orElse(0L)) + 1;
    return new ProgramRecord.Claim(ids.next(), writer.vm(), epoch);
  }

  /** Returns the status of the claim according to the records read so far. */
  public Status status() {
    if (epoch == 0) {
      return Status.NOT_CLAIMED;
    }
    ClaimView current = reader.state().claim().orElse(null);
    if (current == null || current.epoch() < epoch) {
      return Status.CLAIMING;
    }
    boolean isOwnClaim = current.owner().equals(writer) && current.epoch() == epoch;
    return isOwnClaim ? Status.HELD : Status.LOST;
  }

  /** Returns whether the lease is valid at the given monotonic time. */
  public boolean isValidAt(long nowMs) {
    if (status() != Status.HELD) {
      return false;
    }
    OptionalLong caughtUpAtMs = reader.caughtUpAtMs();
    return caughtUpAtMs.isPresent() && nowMs - caughtUpAtMs.getAsLong() < leaseMs;
  }

  /** Returns the epoch of the writer's newest claim, 0 if it has made none. */
  public long epoch() {
    return epoch;
  }

  /**
   * Returns the offset of the claim, which is the owner's fencing token, or empty unless the claim
   * is held.
   */
  public OptionalLong claimOffset() {
    if (status() != Status.HELD) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(reader.state().claim().orElseThrow().offset());
  }
}
