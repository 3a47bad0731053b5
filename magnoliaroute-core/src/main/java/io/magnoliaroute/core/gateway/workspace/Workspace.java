package io.magnoliaroute.core.gateway.workspace;

import java.util.OptionalInt;

/**
 * A workspace, on whose behalf clients send requests.
 *
 * @param name the name, unique in the configuration
 * @param rank the priority rank of its requests, which takes precedence over that of the route; 0
 *     is the highest
 * @param quota the limit of its requests
 */
public record Workspace(String name, OptionalInt rank, WorkspaceQuota quota) {}
