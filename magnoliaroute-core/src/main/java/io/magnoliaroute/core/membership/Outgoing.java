package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.Objects;

/**
 * An effect: send the message to the VM. It may be lost, delayed or duplicated.
 *
 * @param to the receiver; {@link MembershipController#address} gives its address
 * @param message the message
 */
public record Outgoing(VmId to, MembershipMessage message) {

  /** Rejects missing parts. */
  public Outgoing {
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(message, "message");
  }
}
