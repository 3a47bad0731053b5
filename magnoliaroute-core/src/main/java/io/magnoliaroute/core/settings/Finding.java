package io.magnoliaroute.core.settings;

import java.util.Objects;

/**
 * A problem found in settings, either an error or a warning.
 *
 * @param file the name of the file or branch that was parsed
 * @param line the line number, from 1, or 0 if the finding refers to no single line
 * @param path the path in the tree, such as {@code teams/alpha/budget/period_ms}
 * @param message the problem, with the invalid value unless it may be a secret
 * @param severity whether the finding causes the settings to be rejected
 */
public record Finding(String file, int line, String path, String message, Severity severity) {

  /** Throws {@link NullPointerException} if a component is null. */
  public Finding {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(message, "message");
    Objects.requireNonNull(severity, "severity");
  }

  /** Returns whether this finding causes the settings to be rejected. */
  public boolean isError() {
    return severity == Severity.ERROR;
  }

  @Override
  public String toString() {
    return file + ":" + line + ": " + severity.wireName() + ": " + path + ": " + message;
  }
}
