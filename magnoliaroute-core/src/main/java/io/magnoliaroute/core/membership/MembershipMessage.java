package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.Objects;

/** A message between the membership controllers of two VMs. */
public sealed interface MembershipMessage {

  /** The low bits of a ping's sequence that hold the number of the page asked for. */
  int PAGE_BITS = 8;

  /** Returns the part that every message carries. */
  Gossip gossip();

  /**
   * Asks the receiver for an {@link Ack} with the same sequence.
   *
   * @param sequence matches the answer; unique for the sender. Its low {@link #PAGE_BITS} bits
   *     number the pages that the sender asks for, so that requests to several VMs bring different
   *     pages
   * @param tableWanted whether the answer should carry a page of the receiver's table if the table
   *     digests differ
   * @param gossip the common part
   */
  record Ping(long sequence, boolean tableWanted, Gossip gossip) implements MembershipMessage {

    /** Rejects a missing common part. */
    public Ping {
      Objects.requireNonNull(gossip, "gossip");
    }
  }

  /**
   * Asks the receiver to probe the target and to pass on its answer.
   *
   * @param sequence matches the answer; the same as in the direct probe
   * @param target the VM that did not answer the sender
   * @param gossip the common part
   */
  record PingReq(long sequence, VmId target, Gossip gossip) implements MembershipMessage {

    /** Rejects missing parts. */
    public PingReq {
      Objects.requireNonNull(target, "target");
      Objects.requireNonNull(gossip, "gossip");
    }
  }

  /**
   * Answers a {@link Ping}, or a {@link PingReq} whose target has answered.
   *
   * @param sequence the sequence of the request
   * @param gossip the common part
   */
  record Ack(long sequence, Gossip gossip) implements MembershipMessage {

    /** Rejects a missing common part. */
    public Ack {
      Objects.requireNonNull(gossip, "gossip");
    }
  }
}
