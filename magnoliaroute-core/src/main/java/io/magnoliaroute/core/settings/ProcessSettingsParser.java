package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Parses the YAML of {@code --settings FILE} and reports all findings at once. */
public final class ProcessSettingsParser {

  private static final int MAX_CHARS = 256 * 1024;
  private static final int MAX_PARTITIONS = 4_096;
  private static final int DEFAULT_PARTITIONS = 32;
  private static final int MIN_SECRET_CHARS = 16;
  private static final String PLACEHOLDER = "none";
  private static final HostPort PLACEHOLDER_ADDRESS = new HostPort("0.0.0.0", 0);

  private ProcessSettingsParser() {}

  /**
   * Parses the settings of one process.
   *
   * @param file the file name shown in findings
   * @param yaml the content of the file
   */
  public static ParseResult<ProcessSettings> parse(String file, String yaml) {
    Findings findings = new Findings(file);
    Optional<ProcessSettings> settings =
        new YamlReader(findings, "", MAX_CHARS)
            .read(yaml)
            .flatMap(root -> Section.read(findings, "", root, ProcessSettingsParser::read));
    return SettingsParser.toResult(findings, settings);
  }

  private static ProcessSettings read(Section section) {
    VmId vm = section.requireValue("vm", VmId::new).orElse(new VmId(PLACEHOLDER));
    DataCentreId dataCentre = dataCentre(section);
    RegionId region =
        section.requireValue("region", RegionId::new).orElse(new RegionId(PLACEHOLDER));
    HostPort httpListen = address(section, "http_listen");
    HostPort peerListen = address(section, "peer_listen");
    if (httpListen.port() != 0 && httpListen.equals(peerListen)) {
      section.error("peer_listen", "is the same address as http_listen: " + peerListen);
    }
    Set<VmId> peerVms = new HashSet<>();
    List<ProcessSettings.Peer> peers =
        section.sections("peers", peerSection -> peer(peerSection, vm, peerVms));
    Optional<HostPort> vmList = section.value("vm_list", ValueParsers::hostPort);
    if (peers.isEmpty() && vmList.isEmpty() && !section.has("peers")) {
      section.error("peers", "is missing; set peers or vm_list");
    }
    HostPort log = address(section, "log");
    int partitions = section.intOrDefault("partitions", DEFAULT_PARTITIONS, 1, MAX_PARTITIONS);
    ProcessSettings.PeerSecret peerSecret = peerSecret(section);
    List<String> operatorTokenHashes =
        section.values("operator_token_hashes", ValueParsers::tokenHash);
    if (operatorTokenHashes.isEmpty()) {
      section.error("operator_token_hashes", "must have at least one hash");
    }
    Optional<ProcessSettings.Tls> tls = section.section("tls", ProcessSettingsParser::tls);
    return new ProcessSettings(
        vm,
        dataCentre,
        region,
        httpListen,
        peerListen,
        peers,
        vmList,
        log,
        partitions,
        peerSecret,
        operatorTokenHashes,
        tls);
  }

  private static DataCentreId dataCentre(Section section) {
    return section
        .requireValue("data_centre", DataCentreId::new)
        .orElse(new DataCentreId(PLACEHOLDER));
  }

  private static HostPort address(Section section, String key) {
    return section.requireValue(key, ValueParsers::hostPort).orElse(PLACEHOLDER_ADDRESS);
  }

  private static ProcessSettings.Peer peer(Section section, VmId self, Set<VmId> peerVms) {
    VmId vm = section.requireValue("vm", VmId::new).orElse(new VmId(PLACEHOLDER));
    if (section.has("vm") && !peerVms.add(vm)) {
      section.error("vm", "is listed twice: " + vm);
    }
    if (vm.equals(self)) {
      section.warning("vm", "is this VM");
    }
    return new ProcessSettings.Peer(vm, dataCentre(section), address(section, "address"));
  }

  private static ProcessSettings.PeerSecret peerSecret(Section section) {
    Optional<String> value = section.text("peer_secret");
    Optional<String> file = section.value("peer_secret_file", ValueParsers::notBlank);
    if (value.isPresent() == file.isPresent()) {
      section.error("peer_secret", "must be set if and only if peer_secret_file is not set");
    }
    if (value.isPresent() && value.get().length() < MIN_SECRET_CHARS) {
      section.error("peer_secret", "must have at least " + MIN_SECRET_CHARS + " characters");
    }
    return new ProcessSettings.PeerSecret(value, file);
  }

  private static ProcessSettings.Tls tls(Section section) {
    return new ProcessSettings.Tls(
        section.requireValue("certificate_file", ValueParsers::notBlank).orElse(PLACEHOLDER),
        section.requireValue("key_file", ValueParsers::notBlank).orElse(PLACEHOLDER),
        section.value("ca_file", ValueParsers::notBlank));
  }
}
