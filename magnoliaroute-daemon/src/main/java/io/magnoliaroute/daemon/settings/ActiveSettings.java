package io.magnoliaroute.daemon.settings;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.core.settings.PoolKind;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.SettingsTree;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * The active settings of this VM, as an immutable snapshot that any thread may read, and the
 * listeners that are notified of each new snapshot.
 */
public final class ActiveSettings {

  private final List<Consumer<SettingsSnapshot>> listeners = new CopyOnWriteArrayList<>();
  private volatile SettingsSnapshot current = new SettingsSnapshot(SettingsTree.empty(), -1);

  /**
   * A settings tree with its version and the indexes that the request path needs.
   *
   * @param tree the settings tree
   * @param version the log offset of the newest accepted branch, or -1 if there is none
   * @param poolByModel the pool that serves a model, by the name of the model
   * @param endpointsById the endpoints of all pools, by id
   */
  public record SettingsSnapshot(
      SettingsTree tree,
      long version,
      Map<String, PoolSettings> poolByModel,
      Map<EndpointId, EndpointSettings> endpointsById) {

    /** Creates a snapshot of the tree and builds its indexes. */
    public SettingsSnapshot(SettingsTree tree, long version) {
      this(tree, version, indexModels(tree), indexEndpoints(tree));
    }

    /** Returns the service pool with the id, or empty if there is no such pool of that kind. */
    public Optional<PoolSettings> servicePool(PoolId id) {
      return Optional.ofNullable(tree.pools().get(id))
          .filter(pool -> pool.kind() == PoolKind.SERVICE);
    }

    private static Map<String, PoolSettings> indexModels(SettingsTree tree) {
      Map<String, PoolSettings> pools = new HashMap<>();
      for (PoolSettings pool : tree.pools().values()) {
        for (String model : pool.models()) {
          pools.putIfAbsent(model, pool);
        }
      }
      return Map.copyOf(pools);
    }

    private static Map<EndpointId, EndpointSettings> indexEndpoints(SettingsTree tree) {
      Map<EndpointId, EndpointSettings> endpoints = new HashMap<>();
      for (PoolSettings pool : tree.pools().values()) {
        pool.endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
      }
      return Map.copyOf(endpoints);
    }
  }

  /** Returns the active snapshot. */
  public SettingsSnapshot current() {
    return current;
  }

  /** Activates a tree and notifies the listeners on the calling thread. */
  public void activate(SettingsTree tree, long version) {
    SettingsSnapshot next = new SettingsSnapshot(tree, version);
    current = next;
    listeners.forEach(listener -> listener.accept(next));
  }

  /** Adds a listener and notifies it at once of the active snapshot. */
  public void addListener(Consumer<SettingsSnapshot> listener) {
    listeners.add(listener);
    listener.accept(current);
  }
}
