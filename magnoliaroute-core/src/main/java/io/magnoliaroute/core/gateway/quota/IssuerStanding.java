package io.magnoliaroute.core.gateway.quota;

/**
 * On what terms a VM issues the permits of a workspace.
 *
 * @param share the share of the quota that it may issue, from 0 to 1
 * @param unopposed whether no other VM can be issuing permits at present; if not, another one that
 *     does not reply may go on for some time
 * @param isolated whether the VM reaches no other VM and is one of those that may then exceed their
 *     share by one permit
 */
public record IssuerStanding(double share, boolean unopposed, boolean isolated) {}
