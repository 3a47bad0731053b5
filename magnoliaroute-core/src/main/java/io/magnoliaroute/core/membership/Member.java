package io.magnoliaroute.core.membership;

/**
 * One VM in a {@link MembershipView}.
 *
 * @param info identity, location and address of the VM
 * @param incarnation the incarnation of the VM that the state applies to
 * @param state the state of the VM, as known to the local VM
 */
public record Member(MemberInfo info, long incarnation, MemberState state) {}
