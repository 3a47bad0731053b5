package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
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

  private VmLinks() {}

  /**
   * Creates the paths and lists them in the VM's store, with a higher sequence number than before.
   * Lists the endpoints themselves in the store of the other VMs, with the same number of records,
   * so that neither view counts as newer.
   */
  static VmLinks create(
      List<StandinEndpoint> endpoints, StandinStore store, StandinStore storeOfOthers)
      throws IOException {
    VmLinks all = new VmLinks();
    storeOfOthers.put("keyed.op", "config", StandinConfiguration.json(3, "/other/"));
    for (StandinEndpoint endpoint : endpoints) {
      EndpointLink link = new EndpointLink(endpoint.port());
      all.links.add(link);
      String id = "e" + all.links.size();
      store.put("keyed.servers", id, StandinEndpoint.entryAt(link.port(), "s", "ready", 2));
      storeOfOthers.put("keyed.servers", id, endpoint.entry("s", "ready", 1));
      storeOfOthers.put("keyed.servers", id, endpoint.entry("s", "ready", 2));
    }
    return all;
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
