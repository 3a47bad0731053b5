package io.magnoliaroute.core.settings;

import java.util.Objects;

/**
 * One thing that is wrong or doubtful in settings.
 *
 * @param file the file or branch that was read
 * @param line the line in it, from 1, or 0 if it has no line
 * @param path the place in the tree, such as {@code teams/alpha/budget/period_ms}
 * @param message what is wrong, with the offending value
 * @param severity whether the settings are refused for it
 */
public record Finding(String file, int line, String path, String message, Severity severity) {

  /** Rejects parts that are null. */
  public Finding {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(message, "message");
    Objects.requireNonNull(severity, "severity");
  }

  /** Returns whether the settings are refused for this finding. */
  public boolean isError() {
    return severity == Severity.ERROR;
  }

  @Override
  public String toString() {
    return file + ":" + line + ": " + severity.wireName() + ": " + path + ": " + message;
  }
}
