package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Turns the YAML of {@code --settings FILE} into process settings, with all findings at once. */
public final class ProcessSettingsParser {

  private static final int MAX_CHARS = 256 * 1024;
  private static final int MAX_PARTITIONS = 4_096;
  private static final int DEFAULT_PARTITIONS = 32;
  private static final int MIN_SECRET_CHARS = 16;
  private static final String NONE = "none";
  private static final HostPort NO_ADDRESS = new HostPort("0.0.0.0", 0);

  private ProcessSettingsParser() {}

  /** Parses the settings of one process. */
  public static ParseResult<ProcessSettings> parse(String file, String yaml) {
    Findings findings = new Findings(file);
    Optional<ProcessSettings> settings =
        new YamlReader(findings, "", MAX_CHARS)
            .read(yaml)
            .flatMap(root -> Section.of(findings, "", root, ProcessSettingsParser::read));
    return SettingsParser.result(findings, settings);
  }

  private static ProcessSettings read(Section section) {
    VmId vm = section.requireValue("vm", VmId::new).orElse(new VmId(NONE));
    DataCentreId dataCentre = dataCentre(section);
    RegionId region = section.requireValue("region", RegionId::new).orElse(new RegionId(NONE));
    HostPort http = address(section, "http_listen");
    HostPort peer = address(section, "peer_listen");
    if (http.port() != 0 && http.equals(peer)) {
      section.error("peer_listen", "is the same address as http_listen: " + peer);
    }
    Set<VmId> seen = new HashSet<>();
    List<ProcessSettings.Peer> peers = section.sections("peers", inner -> peer(inner, vm, seen));
    Optional<HostPort> vmList = section.value("vm_list", Values::hostPort);
    if (peers.isEmpty() && vmList.isEmpty() && !section.has("peers")) {
      section.error("peers", "or vm_list must be given");
    }
    HostPort log = address(section, "log");
    int partitions = section.intOr("partitions", DEFAULT_PARTITIONS, 1, MAX_PARTITIONS);
    ProcessSettings.PeerSecret secret = secret(section);
    List<String> hashes = section.values("operator_token_hashes", Values::tokenHash);
    if (hashes.isEmpty()) {
      section.error("operator_token_hashes", "must have at least one hash");
    }
    Optional<ProcessSettings.Tls> tls = section.section("tls", ProcessSettingsParser::tls);
    return new ProcessSettings(
        vm, dataCentre, region, http, peer, peers, vmList, log, partitions, secret, hashes, tls);
  }

  private static DataCentreId dataCentre(Section section) {
    return section.requireValue("data_centre", DataCentreId::new).orElse(new DataCentreId(NONE));
  }

  private static HostPort address(Section section, String key) {
    return section.requireValue(key, Values::hostPort).orElse(NO_ADDRESS);
  }

  private static ProcessSettings.Peer peer(Section section, VmId self, Set<VmId> seen) {
    VmId vm = section.requireValue("vm", VmId::new).orElse(new VmId(NONE));
    if (section.has("vm") && !seen.add(vm)) {
      section.error("vm", "is listed twice: " + vm);
    }
    if (vm.equals(self)) {
      section.warning("vm", "is this VM");
    }
    return new ProcessSettings.Peer(vm, dataCentre(section), address(section, "address"));
  }

  private static ProcessSettings.PeerSecret secret(Section section) {
    Optional<String> value = section.text("peer_secret");
    Optional<String> file = section.value("peer_secret_file", Values::notEmpty);
    if (value.isPresent() == file.isPresent()) {
      section.error("peer_secret", "or peer_secret_file must be given, and only one of them");
    }
    if (value.isPresent() && value.get().length() < MIN_SECRET_CHARS) {
      section.error("peer_secret", "must have at least " + MIN_SECRET_CHARS + " characters");
    }
    return new ProcessSettings.PeerSecret(value, file);
  }

  private static ProcessSettings.Tls tls(Section section) {
    return new ProcessSettings.Tls(
        section.requireValue("certificate_file", Values::notEmpty).orElse(NONE),
        section.requireValue("key_file", Values::notEmpty).orElse(NONE),
        section.value("ca_file", Values::notEmpty));
  }
}
