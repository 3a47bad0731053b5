package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.Objects;

/** A message between the membership controllers of two VMs. */
public sealed interface MembershipMessage {

  /** The number of low bits in a ping's sequence that hold the requested page number. */
  int PAGE_BITS = 8;

  /** Returns the piggybacked gossip. */
  Gossip gossip();

  /**
   * Asks the receiver for an {@link Ack} with the same sequence.
   *
   * @param sequence identifies the matching ack; unique per sender. Its low {@link #PAGE_BITS} bits
   *     number the pages that the sender requests, so that requests to several VMs return different
   *     pages
   * @param tableWanted whether the ack should carry a page of the receiver's table if the table
   *     digests differ
   * @param gossip the piggybacked gossip
   */
  record Ping(long sequence, boolean tableWanted, Gossip gossip) implements MembershipMessage {

    /** Rejects null gossip. */
    public Ping {
      Objects.requireNonNull(gossip, "gossip");
    }
  }

  /**
   * Asks the receiver to probe the target and to relay the target's ack.
   *
   * @param sequence identifies the matching ack; the same as in the direct probe
   * @param target the VM that did not answer the sender's direct probe
   * @param gossip the piggybacked gossip
   */
  record PingReq(long sequence, VmId target, Gossip gossip) implements MembershipMessage {

    /** Rejects null components. */
    public PingReq {
      Objects.requireNonNull(target, "target");
      Objects.requireNonNull(gossip, "gossip");
    }
  }

  /**
   * Answers a {@link Ping}, or a {@link PingReq} whose target has answered.
   *
   * @param sequence the sequence of the request
   * @param gossip the piggybacked gossip
   */
  record Ack(long sequence, Gossip gossip) implements MembershipMessage {

    /** Rejects null gossip. */
    public Ack {
      Objects.requireNonNull(gossip, "gossip");
    }
  }
}
