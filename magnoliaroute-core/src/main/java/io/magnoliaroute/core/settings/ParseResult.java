package io.magnoliaroute.core.settings;

import java.util.List;
import java.util.Optional;

/**
 * Settings with what was found in them.
 *
 * @param value the settings; empty if and only if a finding is an error
 * @param findings all findings in order of their lines
 */
public record ParseResult<T>(Optional<T> value, List<Finding> findings) {

  /** Copies the findings. */
  public ParseResult {
    findings = List.copyOf(findings);
  }

  /** Returns whether a finding is an error. */
  public boolean refused() {
    return findings.stream().anyMatch(Finding::isError);
  }
}
