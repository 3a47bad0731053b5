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

/** Guards against events and fields of the decision log that the operations page lacks. */
@DisplayName("The events of the decision log")
class DecisionEventsTest {

  private static final Path SOURCES = Path.of("src/main/java/io/magnoliaroute/daemon/gateway");
  private static final Path PAGE = Path.of("../docs/OPERATIONS.md");
  private static final Pattern WRITTEN = Pattern.compile("line\\(\\s*\"([a-z_]+)\"");
  private static final Pattern FIELD = Pattern.compile("\\.put\\(\\s*\"([a-z_]+)\"");
  private static final Pattern NAME = Pattern.compile("`([a-z_]+)`");

  private static Set<String> inSources(Pattern pattern) throws IOException {
    Set<String> names = new TreeSet<>();
    try (Stream<Path> files = Files.list(SOURCES)) {
      for (Path file : files.toList()) {
        addAll(names, pattern, Files.readString(file));
      }
    }
    return names;
  }

  /** Returns the names in the given column of the page's table of events. */
  private static Set<String> inTable(int column) throws IOException {
    List<String> lines = Files.readAllLines(PAGE);
    Set<String> names = new TreeSet<>();
    int row = lines.indexOf("| event | what was decided or learned | fields |") + 2;
    assertFalse(row < 2, "the page has no table of events");
    while (lines.get(row).startsWith("|")) {
      addAll(names, NAME, lines.get(row).split("\\|", -1)[column]);
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
  @DisplayName("are those of the operators' page")
  void events() throws IOException {
    assertEquals(inTable(1), inSources(WRITTEN));
  }

  @Test
  @DisplayName("have the fields of the operators' page")
  void fields() throws IOException {
    assertEquals(inTable(3), inSources(FIELD));
  }
}
