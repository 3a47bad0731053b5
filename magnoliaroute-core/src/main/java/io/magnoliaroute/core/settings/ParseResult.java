package io.magnoliaroute.core.settings;

import java.util.List;
import java.util.Optional;

/**
 * The result of parsing settings: the value and all findings.
 *
 * @param <T> the type of the settings
 * @param value the settings; empty if and only if a finding is an error
 * @param findings all findings, in ascending order of line
 */
public record ParseResult<T>(Optional<T> value, List<Finding> findings) {

  /** Copies the findings. */
  public ParseResult {
    findings = List.copyOf(findings);
  }

  /** Returns whether a finding is an error. */
  public boolean hasErrors() {
    return findings.stream().anyMatch(Finding::isError);
  }
}
