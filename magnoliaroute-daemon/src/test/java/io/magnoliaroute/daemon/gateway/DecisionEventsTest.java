package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against events and fields of the decision log that docs/OPERATIONS.md does not list. */
@DisplayName("The decision log")
class DecisionEventsTest {

  private static final Path SOURCES = Path.of("src/main/java/io/magnoliaroute/daemon/gateway");
  private static final Path OPERATIONS_PAGE = Path.of("../docs/OPERATIONS.md");
  private static final Pattern EVENT = Pattern.compile("line\\(\\s*\"([a-z_]+)\"");
  private static final Pattern FIELD = Pattern.compile("\\.put\\(\\s*\"([a-z_]+)\"");
  private static final Pattern QUOTED_NAME = Pattern.compile("`([a-z_]+)`");

  private static Set<String> namesInSources(Pattern pattern) throws IOException {
    Set<String> names = new TreeSet<>();
    try (Stream<Path> files = Files.list(SOURCES)) {
      for (Path file : files.toList()) {
        addAll(names, pattern, Files.readString(file));
      }
    }
    return names;
  }

  /** Returns the names in the given column of the operations page's table of events. */
  private static Set<String> namesInTable(int column) throws IOException {
    List<String> lines = Files.readAllLines(OPERATIONS_PAGE);
    Set<String> names = new TreeSet<>();
    int row = lines.indexOf("| event | what was decided or learned | fields |") + 2;
    assertFalse(row < 2, "docs/OPERATIONS.md has no table of events");
    while (lines.get(row).startsWith("|")) {
      addAll(names, QUOTED_NAME, lines.get(row).split("\\|", -1)[column]);
      row++;
    }
    return names;
  }

  private static void addAll(Set<String> names, Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    while (matcher.find()) {
      names.add(matcher.group(1));
    }
  }

  @Test
  @DisplayName("contains exactly the events that the operations page lists")
  void events() throws IOException {
    assertEquals(namesInTable(1), namesInSources(EVENT));
  }

  @Test
  @DisplayName("contains exactly the fields that the operations page lists")
  void fields() throws IOException {
    assertEquals(namesInTable(3), namesInSources(FIELD));
  }
}
