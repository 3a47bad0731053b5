package io.magnoliaroute.core.gateway.workspace;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The workspaces of one configuration version, by key and by name. */
public final class WorkspaceDirectory {

  private final Map<BearerKeyHash, Workspace> byKey;
  private final Map<String, Workspace> byName = new HashMap<>();

  /**
   * Creates the directory of a configuration version.
   *
   * @param workspaces all workspaces, also those without a key
   * @param byKey the workspace of each key
   */
  public WorkspaceDirectory(Collection<Workspace> workspaces, Map<BearerKeyHash, Workspace> byKey) {
    this.byKey = Map.copyOf(byKey);
    workspaces.forEach(workspace -> byName.put(workspace.name(), workspace));
  }

  /** Returns the workspace that holds a key. */
  public Optional<Workspace> findByKey(BearerKeyHash key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns the workspace with the given name. */
  public Optional<Workspace> findByName(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  /** Returns whether any workspace has a quota. */
  public boolean hasQuotas() {
    return byName.values().stream().anyMatch(workspace -> workspace.quota().isLimited());
  }
}
