package io.magnoliaroute.core.gateway.check;

import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.gateway.workspace.BearerKeyHash;
import io.magnoliaroute.core.gateway.workspace.Workspace;
import io.magnoliaroute.core.gateway.workspace.WorkspaceDirectory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Lists what a configuration changes in comparison with the one in force. */
public final class RoutingTableDiff {

  private RoutingTableDiff() {}

  /**
   * One difference.
   *
   * @param path the entry, such as {@code routes/chat}
   * @param before the entry in force; empty if it is new
   * @param after the entry after the change; empty if it is removed
   */
  public record Change(String path, String before, String after) {}

  /** Returns the differences in the order of their paths. */
  public static List<Change> between(RoutingTable inForce, RoutingTable next) {
    List<Change> changes = new ArrayList<>();
    addChanges(changes, "limits", Map.of("", inForce.limits()), Map.of("", next.limits()));
    addChanges(changes, "routes/", routes(inForce), routes(next));
    addChanges(changes, "services/", inForce.services(), next.services());
    addChanges(changes, "workspaces/", workspaces(inForce), workspaces(next));
    return changes;
  }

  private static Map<String, Route> routes(RoutingTable table) {
    Map<String, Route> byName = new TreeMap<>();
    table.routes().forEach(route -> byName.put(route.name(), route));
    return byName;
  }

  /** A workspace and its keys, of which only the beginnings of the hashes are shown. */
  private record KeyedWorkspace(Workspace workspace, Set<String> keys) {

    private static final int SHOWN_HASH_CHARS = 8;

    static KeyedWorkspace of(Workspace workspace, WorkspaceDirectory directory) {
      Set<String> keys = new TreeSet<>();
      for (BearerKeyHash key : directory.keysOf(workspace)) {
        keys.add(key.hex().substring(0, SHOWN_HASH_CHARS));
      }
      return new KeyedWorkspace(workspace, keys);
    }
  }

  private static Map<String, KeyedWorkspace> workspaces(RoutingTable table) {
    Map<String, KeyedWorkspace> byName = new TreeMap<>();
    table
        .workspaces()
        .ifPresent(
            directory ->
                directory
                    .workspaces()
                    .forEach(each -> byName.put(each.name(), KeyedWorkspace.of(each, directory))));
    return byName;
  }

  private static <T> void addChanges(
      List<Change> changes, String prefix, Map<String, T> before, Map<String, T> after) {
    Set<String> names = new HashSet<>(before.keySet());
    names.addAll(after.keySet());
    for (String name : new TreeSet<>(names)) {
      T old = before.get(name);
      T changed = after.get(name);
      if (old == null || !old.equals(changed)) {
        changes.add(new Change(prefix + name, text(old), text(changed)));
      }
    }
  }

  private static String text(Object value) {
    return value == null ? "" : value.toString();
  }
}
