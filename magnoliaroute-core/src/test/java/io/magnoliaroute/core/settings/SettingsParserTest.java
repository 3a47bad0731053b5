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

  private static final String HASH = "ab".repeat(32);
  private static final BranchName TEAM = new BranchName("teams/alpha");
  private static final BranchName POOL = new BranchName("pools/chat");
  private static final String BUDGET = "budget: {units_per_period: 10, period_ms: 60000}\n";

  private static List<String> errors(ParseResult<?> result) {
    return result.findings().stream()
        .filter(Finding::isError)
        .map(found -> found.line() + " " + found.path() + " " + found.message())
        .toList();
  }

  private static void assertError(ParseResult<?> result, String start, String part) {
    assertTrue(result.value().isEmpty(), "a refused branch must have no value");
    assertTrue(
        errors(result).stream().anyMatch(e -> e.startsWith(start) && e.contains(part)),
        () -> "no error '" + start + " ... " + part + "' in " + errors(result));
  }

  private static ParseResult<Branch> team(String yaml) {
    return SettingsParser.parseBranch("team.yaml", TEAM, yaml);
  }

  private static ParseResult<Branch> pool(String yaml) {
    return SettingsParser.parseBranch("pool.yaml", POOL, yaml);
  }

  @Nested
  final class ExampleFiles {

    /** Guards against an example tree that the checks of this release refuse. */
    @Test
    void theExampleTreeHasNoFindings() throws IOException {
      String yaml = Files.readString(Path.of("../examples/settings.yaml"));
      ParseResult<SettingsTree> result = SettingsParser.parseTree("settings.yaml", yaml);
      assertEquals(List.of(), result.findings());
      SettingsTree tree = result.value().orElseThrow();
      assertEquals(2, tree.teams().size());
      assertEquals(40_000_000, tree.teams().get(new TeamId("counter")).budget().unitsPerPeriod());
    }

    /** Guards against an example process file that the daemon refuses. */
    @Test
    void theExampleProcessFileHasNoFindings() throws IOException {
      String yaml = Files.readString(Path.of("../examples/process.yaml"));
      assertEquals(List.of(), ProcessSettingsParser.parse("process.yaml", yaml).findings());
    }
  }

  @Nested
  final class WrongBranches {

    /** Guards against a parser that stops at the first error and hides the rest. */
    @Test
    void allErrorsAreReportedTogetherWithLineAndPath() {
      ParseResult<Branch> result =
          team(
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

    /** Guards against a pasted token that the error message then writes to a terminal or a log. */
    @Test
    void aTokenInPlaceOfItsHashIsNotShown() {
      ParseResult<Branch> result = team(BUDGET + "token_hashes: [s3cret-token, 12345678]\n");
      assertTrue(result.refused());
      assertFalse(errors(result).toString().contains("s3cret"));
      assertFalse(errors(result).toString().contains("12345678"));
    }

    /** Guards against a numeric overflow that turns a large budget into a small one. */
    @Test
    void numbersOutsideTheRangeOfLongAreErrors() {
      assertError(
          team("budget: {units_per_period: 99999999999999999999, period_ms: 60000}"),
          "1 teams/alpha/budget/units_per_period",
          "must be from");
    }

    /** Guards against a window in which urgent slots leave less than nothing for other calls. */
    @Test
    void reservedSlotsAboveTheWindowAreAnError() {
      assertError(
          pool(
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

    /** Guards against two endpoints under one id, of which one would get the other's grants. */
    @Test
    void doubleIdsAndAddressesAreErrors() {
      String endpoint = "  - {id: e1, address: '10.0.0.1:80', data_centre: n, window_slots: 2}\n";
      ParseResult<Branch> result = pool("kind: service\nendpoints:\n" + endpoint + endpoint);
      assertError(result, "4 pools/chat/endpoints/1/id", "another endpoint");
      assertError(result, "4 pools/chat/endpoints/1/address", "another endpoint");
    }

    /** Guards against host names, which a VM could not resolve while it is cut off. */
    @Test
    void hostNamesAreNotAddresses() {
      for (String address :
          List.of("engine:80", "10.0.0.256:80", "10.0.0.1", "[::g]:1", "1::2:80")) {
        assertError(
            pool(
                "kind: service\nendpoints:\n  - {id: e, data_centre: n, window_slots: 1, address: '"
                    + address
                    + "'}"),
            "3 pools/chat/endpoints/0/address",
            "");
      }
    }

    /** Guards against IPv6 addresses that are refused or lose their brackets. */
    @Test
    void bracketedIpv6AddressesAreAccepted() {
      assertEquals(new HostPort("fd00::1", 80), Values.hostPort("[fd00::1]:80"));
      assertEquals("[fd00::1]:80", Values.hostPort("[fd00::1]:80").toString());
    }
  }

  @Nested
  final class WholeTrees {

    /** Guards against a team whose tool rule leads to no pool or to a model pool. */
    @Test
    void referencesAcrossBranchesAreChecked() {
      ParseResult<SettingsTree> result =
          SettingsParser.parseTree(
              "tree.yaml",
              "pools:\n  chat: {kind: model, models: [m]}\nteams:\n"
                  + team("a", "chat")
                  + team("b", "missing"));
      assertError(result, "4 teams/a/tool_rules/0/service", "not a service");
      assertError(result, "5 teams/b/tool_rules/0/service", "does not exist");
      assertError(result, "5 teams/b/token_hashes/0", "token of team a");
    }

    private String team(String name, String service) {
      return "  %s: {token_hashes: ['%s'], %s, tool_rules: [{service: %s, operations: [x]}]}\n"
          .formatted(name, HASH, BUDGET.strip(), service);
    }
  }

  @Nested
  final class HostileInput {

    /** Guards against a key given twice, where the reader and the operator see different values. */
    @Test
    void doubleKeysAreErrors() {
      assertError(team("share: 1\nshare: 2\n" + BUDGET), "2 teams/alpha/share", "given twice");
    }

    /** Guards against aliases that expand without bound or are silently read as text. */
    @Test
    void anchorsAliasesAndMergeKeysAreErrors() {
      ParseResult<Branch> result =
          team("budget: &b {units_per_period: 1, period_ms: 60000}\nlimits: *b\n");
      assertError(result, "1 teams/alpha/budget", "anchor");
      assertError(result, "2 teams/alpha/limits", "alias");
      assertError(team("<<: {share: 1}\n" + BUDGET), "1 teams/alpha/<<", "merge key");
    }

    /** Guards against stack overflow by deep nesting. */
    @Test
    void deepNestingIsAnErrorAndNotACrash() {
      assertError(team("a: " + "[".repeat(100_000)), "1 teams/alpha/a", "nested deeper");
      assertTrue(team("? ".repeat(1_000)).refused());
    }

    /** Guards against memory that grows with the input of one request. */
    @Test
    void inputAboveTheBoundIsRefusedUnread() {
      assertError(team("x".repeat(SettingsParser.MAX_BRANCH_CHARS + 1)), "0 ", "longer than");
    }

    /** Guards against a reply that grows with the number of errors. */
    @Test
    void theNumberOfFindingsIsBounded() {
      StringBuilder yaml = new StringBuilder(BUDGET);
      for (int i = 0; i < 2_000; i++) {
        yaml.append("key").append(i).append(": 1\n");
      }
      assertEquals(Findings.MAX_FINDINGS + 1, team(yaml.toString()).findings().size());
    }

    /** Guards against text that is not YAML, more documents than one and empty files. */
    @Test
    void textThatIsNotOneDocumentIsAnError() {
      assertError(team("a: [1\nb: 2"), "", "not YAML");
      assertError(team(""), "0 teams/alpha", "empty");
      assertError(team(BUDGET + "---\n" + BUDGET), "", "more than one document");
      assertError(team("- 1"), "1 teams/alpha", "must be a mapping");
    }
  }

  @Nested
  final class ProcessFiles {

    /** Guards against a daemon that starts with half of what it must know. */
    @Test
    void everythingMissingIsReportedAtOnce() {
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

    /** Guards against a secret that reaches a log line through toString or a message. */
    @Test
    void theSecretIsNotShown() {
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
