package io.magnoliaroute.core.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the findings of one file. */
final class Findings {

  /** Bounds the reply for input that is wrong throughout. */
  static final int MAX_FINDINGS = 500;

  private final String file;
  private final List<Finding> found = new ArrayList<>();
  private int dropped;
  private boolean refused;

  Findings(String file) {
    this.file = file;
  }

  void error(int line, String path, String message) {
    refused = true;
    add(line, path, message, Severity.ERROR);
  }

  void warning(int line, String path, String message) {
    add(line, path, message, Severity.WARNING);
  }

  private void add(int line, String path, String message, Severity severity) {
    if (found.size() == MAX_FINDINGS) {
      dropped++;
      return;
    }
    found.add(new Finding(file, line, path, message, severity));
  }

  boolean refused() {
    return refused;
  }

  List<Finding> sorted() {
    List<Finding> sorted = new ArrayList<>(found);
    sorted.sort(Comparator.comparingInt(Finding::line));
    if (dropped > 0) {
      String message = "findings not shown: " + dropped;
      sorted.add(new Finding(file, 0, "", message, Severity.ERROR));
    }
    return sorted;
  }
}
