package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import java.util.List;
import java.util.Optional;

/**
 * The settings that one daemon needs to start.
 *
 * @param vm the id of the VM
 * @param dataCentre its data centre
 * @param region its region
 * @param httpListen the address on which it accepts connections from callers
 * @param peerListen the address on which it accepts connections from other VMs
 * @param peers the other VMs, if they are listed; may be empty
 * @param vmList the address of the platform's VM list, if it is set
 * @param log the address of the platform's log
 * @param partitions the number of program partitions
 * @param peerSecret the secret shared by all VMs
 * @param operatorTokenHashes the SHA-256 hash of each operator token, in hexadecimal
 * @param tls the certificate and key for connections with callers and peers, if TLS is enabled
 */
public record ProcessSettings(
    VmId vm,
    DataCentreId dataCentre,
    RegionId region,
    HostPort httpListen,
    HostPort peerListen,
    List<Peer> peers,
    Optional<HostPort> vmList,
    HostPort log,
    int partitions,
    PeerSecret peerSecret,
    List<String> operatorTokenHashes,
    Optional<Tls> tls) {

  /** Copies the lists. */
  public ProcessSettings {
    peers = List.copyOf(peers);
    operatorTokenHashes = List.copyOf(operatorTokenHashes);
  }

  /**
   * A peer VM that is listed in the settings.
   *
   * @param vm the id of the peer
   * @param dataCentre its data centre
   * @param address the address on which it accepts connections from peers
   */
  public record Peer(VmId vm, DataCentreId dataCentre, HostPort address) {}

  /**
   * The peer secret or the file that contains it; exactly one of the two is set.
   *
   * @param value the secret
   * @param file the path of the file that contains the secret
   */
  public record PeerSecret(Optional<String> value, Optional<String> file) {

    @Override
    public String toString() {
      return "PeerSecret[" + file.orElse("hidden") + "]";
    }
  }

  /**
   * The TLS files, in PEM format.
   *
   * @param certificateFile the path of the certificate chain
   * @param keyFile the path of the private key
   * @param caFile the path of the certificate authorities that verify peers, if set
   */
  public record Tls(String certificateFile, String keyFile, Optional<String> caFile) {}
}
