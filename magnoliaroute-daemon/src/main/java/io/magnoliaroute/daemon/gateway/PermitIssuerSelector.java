package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.membership.RendezvousHashing;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.wire.PeerMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the VM that issues the request permits of an endpoint: by rendezvous hashing among the
 * reachable VMs of the endpoint's data centre, which stay connected to the endpoint when the data
 * centre is cut off. Used on one event loop.
 */
final class PermitIssuerSelector {

  private static final String RENDEZVOUS_KEY_PREFIX = "request-limit/";

  private final VmEntry self;
  private final VmDirectory vmDirectory;
  private final PeerConnections peers;
  private final RoutingState routingState;
  private final Map<EndpointId, Issuer> issuers = new HashMap<>();
  private long selectedAtRevision = -1;

  /**
   * The VM that issues the permits of an endpoint.
   *
   * @param address the address at which peers connect to it
   * @param isSelf whether it is this VM
   */
  record Issuer(HostPort address, boolean isSelf) {}

  PermitIssuerSelector(
      VmEntry self, VmDirectory vmDirectory, PeerConnections peers, RoutingState routingState) {
    this.self = self;
    this.vmDirectory = vmDirectory;
    this.peers = peers;
    this.routingState = routingState;
  }

  /** Returns the VM that issues the permits of the endpoint, as far as this VM knows. */
  Issuer issuerOf(EndpointId endpoint) {
    long revision = vmDirectory.revision() + peers.revision() + routingState.endpoints().revision();
    if (revision != selectedAtRevision) {
      issuers.clear();
      selectedAtRevision = revision;
    }
    return issuers.computeIfAbsent(endpoint, this::select);
  }

  private Issuer select(EndpointId endpoint) {
    Map<VmId, HostPort> candidates = addresses(reachable(candidates(endpoint)));
    if (candidates.isEmpty()) {
      candidates = addresses(reachable(vmDirectory.all()));
    }
    if (candidates.isEmpty()) {
      return new Issuer(self.address(), true);
    }
    VmId issuer = RendezvousHashing.owner(RENDEZVOUS_KEY_PREFIX + endpoint, candidates.keySet());
    return new Issuer(candidates.get(issuer), issuer.equals(self.vm()));
  }

  /**
   * Returns the share of an endpoint's limit that this VM may issue. A VM that reaches only some of
   * the candidates may be cut off from the others, of which one may issue permits too.
   */
  double ownShare(EndpointId endpoint) {
    List<VmEntry> candidates = candidates(endpoint);
    return (double) reachable(candidates).size() / Math.max(1, candidates.size());
  }

  /** Sends a notification to all reachable VMs. */
  void broadcast(PeerMessage notification) {
    List<HostPort> others = new ArrayList<>(addresses(reachable(vmDirectory.all())).values());
    others.remove(self.address());
    peers.broadcast(others, notification);
  }

  private List<VmEntry> candidates(EndpointId endpoint) {
    String dataCentre =
        routingState.endpoints().find(endpoint).map(EndpointEntry::dataCentre).orElse("");
    List<VmEntry> local = new ArrayList<>();
    for (VmEntry vm : vmDirectory.all()) {
      if (vm.dataCentre().equals(dataCentre) && isAvailable(vm)) {
        local.add(vm);
      }
    }
    return local.isEmpty() ? List.copyOf(vmDirectory.all()) : local;
  }

  private List<VmEntry> reachable(Iterable<VmEntry> vms) {
    List<VmEntry> reachable = new ArrayList<>();
    for (VmEntry vm : vms) {
      if (isAvailable(vm) && !peers.isUnreachable(vm.address())) {
        reachable.add(vm);
      }
    }
    return reachable;
  }

  // A VM that is stopping has removed its entry, so the other VMs no longer select it.
  private boolean isAvailable(VmEntry vm) {
    return !(vm.vm().equals(self.vm()) && vmDirectory.isDeregistered());
  }

  private static Map<VmId, HostPort> addresses(List<VmEntry> vms) {
    Map<VmId, HostPort> addresses = new HashMap<>();
    vms.forEach(vm -> addresses.put(vm.vm(), vm.address()));
    return addresses;
  }
}
