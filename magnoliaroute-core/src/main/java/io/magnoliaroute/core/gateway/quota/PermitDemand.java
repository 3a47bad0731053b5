package io.magnoliaroute.core.gateway.quota;

import io.magnoliaroute.core.gateway.workspace.WorkspaceQuota;

/**
 * A request for one permit of a workspace.
 *
 * @param workspace the name of the workspace
 * @param configVersion the configuration version that the quota is from; a newer one takes
 *     precedence
 * @param quota the quota as the asking VM knows it
 */
public record PermitDemand(String workspace, long configVersion, WorkspaceQuota quota) {}
