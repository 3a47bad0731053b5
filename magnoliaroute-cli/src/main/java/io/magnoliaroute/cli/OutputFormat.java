package io.magnoliaroute.cli;

import java.util.Locale;

/** Format in which results are printed. */
enum OutputFormat {
  /** Human-readable lines and tables. */
  TEXT,
  /** One JSON object per result or event. */
  JSON;

  /** Parses the lower-case name that is given to {@code --output}. */
  static OutputFormat fromName(String name) throws CommandException {
    for (OutputFormat format : values()) {
      if (format.name().toLowerCase(Locale.ROOT).equals(name)) {
        return format;
      }
    }
    throw new CommandException(ExitCode.USAGE, "--output must be text or json, was '" + name + "'");
  }
}
