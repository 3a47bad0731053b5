package io.magnoliaroute.core.membership;

import java.util.List;
import java.util.Objects;

/**
 * The membership state that is piggybacked on every membership message.
 *
 * @param sender the sender's report about itself
 * @param configVersion the settings version in force at the sender
 * @param listVersion the newest version of the platform's VM list that the sender has applied or
 *     that gossip reported to it
 * @param tableDigest digest of the VMs that the sender does not consider dead
 * @param deltas reports about other VMs, at most {@link #MAX_DELTAS}
 */
public record Gossip(
    MemberDelta sender,
    long configVersion,
    long listVersion,
    long tableDigest,
    List<MemberDelta> deltas) {

  /** The maximum number of deltas in one message; a longer list is rejected. */
  public static final int MAX_DELTAS = 128;

  /** Copies the deltas and rejects a list longer than {@link #MAX_DELTAS}. */
  public Gossip {
    Objects.requireNonNull(sender, "sender");
    deltas = List.copyOf(deltas);
    if (deltas.size() > MAX_DELTAS) {
      throw new IllegalArgumentException(
          "gossip may carry at most " + MAX_DELTAS + " deltas, got " + deltas.size());
    }
  }
}
