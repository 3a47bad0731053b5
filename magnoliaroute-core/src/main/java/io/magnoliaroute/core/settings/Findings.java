package io.magnoliaroute.core.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the findings of one file. */
final class Findings {

  /** Limits the size of the response to input with errors throughout. */
  static final int MAX_FINDINGS = 500;

  private final String file;
  private final List<Finding> findings = new ArrayList<>();
  private int omittedCount;
  private boolean hasErrors;

  Findings(String file) {
    this.file = file;
  }

  void error(int line, String path, String message) {
    hasErrors = true;
    add(line, path, message, Severity.ERROR);
  }

  void warning(int line, String path, String message) {
    add(line, path, message, Severity.WARNING);
  }

  private void add(int line, String path, String message, Severity severity) {
    if (findings.size() == MAX_FINDINGS) {
      omittedCount++;
      return;
    }
    findings.add(new Finding(file, line, path, message, severity));
  }

  boolean hasErrors() {
    return hasErrors;
  }

  List<Finding> sorted() {
    List<Finding> sorted = new ArrayList<>(findings);
    sorted.sort(Comparator.comparingInt(Finding::line));
    if (omittedCount > 0) {
      String message = "findings not shown: " + omittedCount;
      sorted.add(new Finding(file, 0, "", message, Severity.ERROR));
    }
    return sorted;
  }
}
