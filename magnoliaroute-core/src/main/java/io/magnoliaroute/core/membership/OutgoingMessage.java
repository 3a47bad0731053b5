package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.Objects;

/**
 * A message that the caller has to send to a VM. It may be lost, delayed or duplicated in transit.
 *
 * @param to the receiver; {@link MembershipController#address} returns its address
 * @param message the message to send
 */
public record OutgoingMessage(VmId to, MembershipMessage message) {

  /** Rejects null components. */
  public OutgoingMessage {
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(message, "message");
  }
}
