package io.magnoliaroute.core.membership;

/**
 * One VM of a view.
 *
 * @param info identity, place and address
 * @param incarnation the life of the VM that the state belongs to
 * @param state what this VM holds of it
 */
public record Member(MemberInfo info, long incarnation, MemberState state) {}
