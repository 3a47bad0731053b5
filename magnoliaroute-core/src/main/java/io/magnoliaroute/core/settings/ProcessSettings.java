package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import java.util.List;
import java.util.Optional;

/**
 * What one daemon must know to start.
 *
 * @param vm the VM
 * @param dataCentre its data centre
 * @param region its region
 * @param httpListen where callers connect
 * @param peerListen where other VMs connect
 * @param peers other VMs, if they are given as a list
 * @param vmList the address of the platform's VM list, if there is one
 * @param log the address of the platform's log
 * @param partitions the number of program partitions
 * @param peerSecret the secret shared by all VMs
 * @param operatorTokenHashes SHA-256 of each operator token, in hexadecimal
 * @param tls certificate and key for callers and peers, if TLS is on
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
   * Another VM.
   *
   * @param vm the VM
   * @param dataCentre its data centre
   * @param address where it listens for peers
   */
  public record Peer(VmId vm, DataCentreId dataCentre, HostPort address) {}

  /**
   * The secret or the file that holds it; exactly one is given.
   *
   * @param value the secret
   * @param file the file to read it from
   */
  public record PeerSecret(Optional<String> value, Optional<String> file) {

    @Override
    public String toString() {
      return "PeerSecret[" + file.orElse("hidden") + "]";
    }
  }

  /**
   * Files in PEM form.
   *
   * @param certificateFile the certificate chain
   * @param keyFile the private key
   * @param caFile the authorities that peers are checked against
   */
  public record Tls(String certificateFile, String keyFile, Optional<String> caFile) {}
}
