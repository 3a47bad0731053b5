package io.magnoliaroute.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.TeamId;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SettingsParserTest {

  private static final String TOKEN_HASH = "ab".repeat(32);
  private static final BranchName TEAM = new BranchName("teams/alpha");
  private static final BranchName POOL = new BranchName("pools/chat");
  private static final String BUDGET = "budget: {units_per_period: 10, period_ms: 60000}\n";

  private static List<String> errors(ParseResult<?> result) {
    return result.findings().stream()
        .filter(Finding::isError)
        .map(finding -> finding.line() + " " + finding.path() + " " + finding.message())
        .toList();
  }

  private static void assertError(ParseResult<?> result, String prefix, String fragment) {
    assertTrue(result.value().isEmpty(), "rejected settings must have no value");
    assertTrue(
        errors(result).stream()
            .anyMatch(error -> error.startsWith(prefix) && error.contains(fragment)),
        () -> "no error '" + prefix + " ... " + fragment + "' in " + errors(result));
  }

  private static ParseResult<Branch> parseTeam(String yaml) {
    return SettingsParser.parseBranch("team.yaml", TEAM, yaml);
  }

  private static ParseResult<Branch> parsePool(String yaml) {
    return SettingsParser.parseBranch("pool.yaml", POOL, yaml);
  }

  @Nested
  final class ExampleFiles {

    /** Guards against an example tree that the current checks reject. */
    @Test
    void exampleTreeHasNoFindings() throws IOException {
      String yaml = Files.readString(Path.of("../examples/settings.yaml"));
      ParseResult<SettingsTree> result = SettingsParser.parseTree("settings.yaml", yaml);
      assertEquals(List.of(), result.findings());
      SettingsTree tree = result.value().orElseThrow();
      assertEquals(2, tree.teams().size());
      assertEquals(40_000_000, tree.teams().get(new TeamId("counter")).budget().unitsPerPeriod());
    }

    /** Guards against an example process file that the daemon rejects. */
    @Test
    void exampleProcessFileHasNoFindings() throws IOException {
      String yaml = Files.readString(Path.of("../examples/process.yaml"));
      assertEquals(List.of(), ProcessSettingsParser.parse("process.yaml", yaml).findings());
    }
  }

  @Nested
  final class InvalidBranches {

    /** Guards against a parser that stops at the first error and does not report the others. */
    @Test
    void allErrorsAreReportedTogetherWithLineAndPath() {
      ParseResult<Branch> result =
          parseTeam(
              """
              token_hashes: ["abc"]
              colour: red
              share: many
              budget: {units_per_period: 0, period_ms: -5}
              programs:
                order: {priority: highest}
              """);
      assertError(result, "1 teams/alpha/token_hashes/0", "64 hexadecimal digits");
      assertError(result, "2 teams/alpha/colour", "not a known key");
      assertError(result, "3 teams/alpha/share", "integer");
      assertError(result, "4 teams/alpha/budget/units_per_period", "is 0");
      assertError(result, "4 teams/alpha/budget/period_ms", "is -5");
      assertError(result, "6 teams/alpha/programs/order/priority", "highest");
      assertError(result, "6 teams/alpha/programs/order/deadline_ms", "missing");
      assertEquals(7, result.findings().size());
    }

    /** Guards against a token, pasted instead of its hash, that an error message exposes. */
    @Test
    void tokenInPlaceOfItsHashIsOmittedFromFindings() {
      ParseResult<Branch> result = parseTeam(BUDGET + "token_hashes: [s3cret-token, 12345678]\n");
      assertTrue(result.hasErrors());
      assertFalse(errors(result).toString().contains("s3cret"));
      assertFalse(errors(result).toString().contains("12345678"));
    }

    /** Guards against a numeric overflow that turns a large budget into a small one. */
    @Test
    void numbersOutsideTheRangeOfLongAreErrors() {
      assertError(
          parseTeam("budget: {units_per_period: 99999999999999999999, period_ms: 60000}"),
          "1 teams/alpha/budget/units_per_period",
          "must be from");
    }

    /** Guards against more slots reserved for urgent calls than the window has. */
    @Test
    void reservedSlotsAboveWindowAreAnError() {
      assertError(
          parsePool(
              """
              kind: model
              models: [m]
              endpoints:
                - {id: e1, address: "10.0.0.1:80", data_centre: n, window_slots: 2,
                   urgent_reserved_slots: 3}
              """),
          "5 pools/chat/endpoints/0/urgent_reserved_slots",
          "3 of 2");
    }

    /** Guards against two endpoints with one id, where one would receive the other's grants. */
    @Test
    void duplicateIdsAndAddressesAreErrors() {
      String endpoint = "  - {id: e1, address: '10.0.0.1:80', data_centre: n, window_slots: 2}\n";
      ParseResult<Branch> result = parsePool("kind: service\nendpoints:\n" + endpoint + endpoint);
      assertError(result, "4 pools/chat/endpoints/1/id", "another endpoint");
      assertError(result, "4 pools/chat/endpoints/1/address", "another endpoint");
    }

    /** Guards against host names, which a VM cannot resolve while it is partitioned. */
    @Test
    void hostNamesAreRejectedAsAddresses() {
      for (String address :
          List.of("engine:80", "10.0.0.256:80", "10.0.0.1", "[::g]:1", "1::2:80")) {
        assertError(
            parsePool(
                "kind: service\nendpoints:\n  - {id: e, data_centre: n, window_slots: 1, address: '"
                    + address
                    + "'}"),
            "3 pools/chat/endpoints/0/address",
            "");
      }
    }

    /** Guards against IPv6 addresses that are rejected or printed without brackets. */
    @Test
    void bracketedIpv6AddressesAreAccepted() {
      assertEquals(new HostPort("fd00::1", 80), ValueParsers.hostPort("[fd00::1]:80"));
      assertEquals("[fd00::1]:80", ValueParsers.hostPort("[fd00::1]:80").toString());
    }
  }

  @Nested
  final class WholeTrees {

    /** Guards against a tool rule that refers to a missing pool or to a model pool. */
    @Test
    void referencesAcrossBranchesAreChecked() {
      ParseResult<SettingsTree> result =
          SettingsParser.parseTree(
              "tree.yaml",
              "pools:\n  chat: {kind: model, models: [m]}\nteams:\n"
                  + teamEntry("a", "chat")
                  + teamEntry("b", "missing"));
      assertError(result, "4 teams/a/tool_rules/0/service", "not a service");
      assertError(result, "5 teams/b/tool_rules/0/service", "does not exist");
      assertError(result, "5 teams/b/token_hashes/0", "token of team a");
    }

    private String teamEntry(String name, String service) {
      return "  %s: {token_hashes: ['%s'], %s, tool_rules: [{service: %s, operations: [x]}]}\n"
          .formatted(name, TOKEN_HASH, BUDGET.strip(), service);
    }
  }

  @Nested
  final class UntrustedInput {

    /** Guards against a duplicate key, of which parser and operator may take different values. */
    @Test
    void duplicateKeysAreErrors() {
      assertError(parseTeam("share: 1\nshare: 2\n" + BUDGET), "2 teams/alpha/share", "given twice");
    }

    /** Guards against aliases that expand without bound or are silently parsed as text. */
    @Test
    void anchorsAliasesAndMergeKeysAreErrors() {
      ParseResult<Branch> result =
          parseTeam("budget: &b {units_per_period: 1, period_ms: 60000}\nlimits: *b\n");
      assertError(result, "1 teams/alpha/budget", "anchor");
      assertError(result, "2 teams/alpha/limits", "alias");
      assertError(parseTeam("<<: {share: 1}\n" + BUDGET), "1 teams/alpha/<<", "merge key");
    }

    /** Guards against a stack overflow caused by deep nesting. */
    @Test
    void deepNestingIsReportedAsAnError() {
      assertError(parseTeam("a: " + "[".repeat(100_000)), "1 teams/alpha/a", "nested deeper");
      assertTrue(parseTeam("? ".repeat(1_000)).hasErrors());
    }

    /** Guards against memory use that grows with the input of a single request. */
    @Test
    void inputAboveMaximumLengthIsRejected() {
      assertError(parseTeam("x".repeat(SettingsParser.MAX_BRANCH_CHARS + 1)), "0 ", "longer than");
    }

    /** Guards against a response that grows with the number of errors. */
    @Test
    void numberOfFindingsIsBounded() {
      StringBuilder yaml = new StringBuilder(BUDGET);
      for (int i = 0; i < 2_000; i++) {
        yaml.append("key").append(i).append(": 1\n");
      }
      assertEquals(Findings.MAX_FINDINGS + 1, parseTeam(yaml.toString()).findings().size());
    }

    /** Guards against accepting text that is not YAML, several documents or an empty file. */
    @Test
    void textThatIsNotOneDocumentIsAnError() {
      assertError(parseTeam("a: [1\nb: 2"), "", "not YAML");
      assertError(parseTeam(""), "0 teams/alpha", "empty");
      assertError(parseTeam(BUDGET + "---\n" + BUDGET), "", "more than one document");
      assertError(parseTeam("- 1"), "1 teams/alpha", "must be a mapping");
    }
  }

  @Nested
  final class ProcessFiles {

    /** Guards against a daemon that starts with incomplete settings. */
    @Test
    void allMissingKeysAreReportedTogether() {
      ParseResult<ProcessSettings> result = ProcessSettingsParser.parse("vm.yaml", "vm: '-'\n");
      for (String key :
          List.of(
              "data_centre",
              "region",
              "http_listen",
              "peer_listen",
              "peers",
              "log",
              "peer_secret",
              "operator_token_hashes")) {
        assertError(result, "1 " + key, "");
      }
      assertError(result, "1 vm", "must match");
    }

    /** Guards against a secret that is logged through toString or a finding. */
    @Test
    void secretIsNotShown() {
      assertFalse(
          ProcessSettingsParser.parse("vm.yaml", "peer_secret: 77778888\n")
              .findings()
              .toString()
              .contains("77778888"));
      ProcessSettings.PeerSecret secret =
          new ProcessSettings.PeerSecret(
              java.util.Optional.of("0123456789abcdef"), java.util.Optional.empty());
      assertFalse(secret.toString().contains("0123"));
    }
  }
}
