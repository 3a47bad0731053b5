package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordSequence;
import io.magnoliaroute.core.log.WriterId;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * An owner's own view of its claim on a partition.
 *
 * <p>The lease holds while a recent read to the end of the stream shows the owner's claim in force.
 * Its time counts from before that read was issued, so that neither a slow read nor a pause
 * lengthens it. It does not keep others from claiming; it bounds how long an owner acts without
 * having seen that one did.
 */
public final class PartitionLease {

  /** How the owner's claim stands. */
  public enum Status {
    /** No claim was made. */
    NOT_CLAIMED,
    /** The claim was made and not read back. */
    CLAIMING,
    /** The claim is in force as far as was read. */
    HELD,
    /** Another claim is in force; a new one must be made to go on. */
    LOST
  }

  private final WriterId me;
  private final PartitionReader reader;
  private final long leaseMs;
  private long epoch;

  /** Makes the view of the given writer. */
  public PartitionLease(WriterId me, PartitionReader reader, long leaseMs) {
    this.me = Objects.requireNonNull(me, "me");
    this.reader = Objects.requireNonNull(reader, "reader");
    if (leaseMs < 1) {
      throw new IllegalArgumentException("leaseMs must be positive, was " + leaseMs);
    }
    this.leaseMs = leaseMs;
  }

  /** Returns a claim with an epoch above all that were read; the caller appends it. */
  public ProgramRecord.Claim claim(RecordSequence ids) {
    if (!ids.writer().equals(me)) {
      throw new IllegalArgumentException("ids must be of " + me + ", were of " + ids.writer());
    }
    epoch = Math.max(epoch, reader.state().claim().map(ClaimView::epoch).orElse(0L)) + 1;
    return new ProgramRecord.Claim(ids.next(), me.vm(), epoch);
  }

  /** Returns how the claim stands as far as was read. */
  public Status status() {
    if (epoch == 0) {
      return Status.NOT_CLAIMED;
    }
    ClaimView inForce = reader.state().claim().orElse(null);
    if (inForce == null || inForce.epoch() < epoch) {
      return Status.CLAIMING;
    }
    boolean mine = inForce.owner().equals(me) && inForce.epoch() == epoch;
    return mine ? Status.HELD : Status.LOST;
  }

  /** Returns whether the owner may act on its claim at the given monotonic time. */
  public boolean validAt(long nowMs) {
    if (status() != Status.HELD) {
      return false;
    }
    OptionalLong provenAtMs = reader.provenAtMs();
    return provenAtMs.isPresent() && nowMs - provenAtMs.getAsLong() < leaseMs;
  }

  /** Returns the epoch of the newest claim made, 0 before the first. */
  public long epoch() {
    return epoch;
  }

  /** Returns the offset of the claim in force, which is the owner's fencing token. */
  public OptionalLong claimOffset() {
    if (status() != Status.HELD) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(reader.state().claim().orElseThrow().offset());
  }
}
