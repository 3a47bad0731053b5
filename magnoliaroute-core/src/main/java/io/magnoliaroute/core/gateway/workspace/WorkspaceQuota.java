package io.magnoliaroute.core.gateway.workspace;

/**
 * The number of requests that all VMs together may run for a workspace.
 *
 * @param requestsPerS the sustained rate; 0 if there is no limit
 * @param burst the number of requests beyond the rate that may run at once after a quiet time
 */
public record WorkspaceQuota(double requestsPerS, double burst) {

  /** No limit. */
  public static final WorkspaceQuota UNLIMITED = new WorkspaceQuota(0, 0);

  /** Returns whether the quota limits the workspace at all. */
  public boolean isLimited() {
    return requestsPerS > 0;
  }
}
