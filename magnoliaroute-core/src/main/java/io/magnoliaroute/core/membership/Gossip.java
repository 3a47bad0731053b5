package io.magnoliaroute.core.membership;

import java.util.List;
import java.util.Objects;

/**
 * The part that every membership message carries.
 *
 * @param sender the sender's report of itself
 * @param configVersion the settings version in force at the sender
 * @param listVersion the newest version of the platform's list that the sender has or heard of
 * @param tableDigest a digest of the VMs that the sender does not hold for dead
 * @param deltas reports of other VMs, at most {@link #MAX_DELTAS}
 */
public record Gossip(
    MemberDelta sender,
    long configVersion,
    long listVersion,
    long tableDigest,
    List<MemberDelta> deltas) {

  /** The most reports in one message; a longer list is refused. */
  public static final int MAX_DELTAS = 128;

  /** Copies the reports and rejects a list that is too long. */
  public Gossip {
    Objects.requireNonNull(sender, "sender");
    deltas = List.copyOf(deltas);
    if (deltas.size() > MAX_DELTAS) {
      throw new IllegalArgumentException(
          "a message has at most " + MAX_DELTAS + " deltas, got " + deltas.size());
    }
  }
}
