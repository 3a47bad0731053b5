package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinConfiguration;
import io.magnoliaroute.standin.users.StandinEndpoint;
import io.magnoliaroute.standin.users.StandinStore;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The network paths of one VM to all endpoints, which other VMs reach on paths of their own. */
final class VmLinks implements Closeable {

  private final List<EndpointLink> links = new ArrayList<>();

  private final List<StandinEndpoint> endpoints;
  private final StandinStore store;
  private final StandinStore storeOfOthers;

  private VmLinks(List<StandinEndpoint> endpoints, StandinStore store, StandinStore storeOfOthers) {
    this.endpoints = endpoints;
    this.store = store;
    this.storeOfOthers = storeOfOthers;
  }

  /** Copies the configuration and the endpoints to the store of the other VMs. */
  static VmLinks create(
      List<StandinEndpoint> endpoints, StandinStore store, StandinStore storeOfOthers) {
    VmLinks links = new VmLinks(endpoints, store, storeOfOthers);
    storeOfOthers.put("keyed.op", "config", StandinConfiguration.json(3, "/other/"));
    for (StandinEndpoint endpoint : endpoints) {
      storeOfOthers.put("keyed.servers", endpoint.id(), endpoint.entry("s", "ready", 1));
    }
    return links;
  }

  /**
   * Lists the paths instead of the endpoints in the VM's store. VMs that are starting copy the view
   * of a peer that has read more records, so this is called after the start of all VMs.
   */
  void connect() throws IOException {
    for (StandinEndpoint endpoint : endpoints) {
      EndpointLink link = new EndpointLink(endpoint.port());
      links.add(link);
      // With another start of the endpoint, VMs close their connections to its earlier address.
      String entry = StandinEndpoint.entryAfterRestart(link.port(), "s");
      store.put("keyed.servers", endpoint.id(), entry);
      String direct = StandinEndpoint.entryAfterRestart(endpoint.port(), "s");
      storeOfOthers.put("keyed.servers", endpoint.id(), direct);
    }
  }

  /** Replaces the listed endpoints by one that listens on the given port. */
  void replaceEndpoints(int port) throws IOException {
    for (StandinEndpoint endpoint : endpoints) {
      store.put("keyed.servers", endpoint.id(), "");
      storeOfOthers.put("keyed.servers", endpoint.id(), "");
    }
    EndpointLink link = new EndpointLink(port);
    links.add(link);
    store.put("keyed.servers", "raw", StandinEndpoint.entryAt(link.port(), "s", "ready", 1));
    storeOfOthers.put("keyed.servers", "raw", StandinEndpoint.entryAt(port, "s", "ready", 1));
  }

  /** Registers a VM in a store that is not its own. */
  static void registerVm(StandinStore store, String id, int peerPort) {
    VmEntry entry = new VmEntry(new VmId(id), new HostPort("127.0.0.1", peerPort), "dc");
    store.put("keyed.vms", id, entry.encode().toArray());
  }

  void cut(EndpointLink.Cut cut) throws IOException {
    for (EndpointLink link : links) {
      link.cut(cut);
    }
  }

  void restore() throws IOException {
    for (EndpointLink link : links) {
      link.restore();
    }
  }

  /** Restores the path to one endpoint, and waits until the VM uses it. */
  void restore(int index) throws IOException {
    EndpointLink link = links.get(index);
    link.restore();
    Await.until("the VM uses the path", () -> link.openConnections() > 0);
  }

  /** Returns whether the VM has read all entries that name the links, and connected to each. */
  boolean areAllUsed() {
    return links.stream().allMatch(link -> link.openConnections() > 0);
  }

  /** Returns the number of connections that the VM has not closed. */
  int openConnections() {
    return links.stream().mapToInt(EndpointLink::openConnections).sum();
  }

  @Override
  public void close() throws IOException {
    for (EndpointLink link : links) {
      link.close();
    }
  }
}
