package io.magnoliaroute.cli;

import java.util.Locale;

/** How results are printed. */
enum OutputFormat {
  /** Lines and tables for people. */
  TEXT,
  /** One JSON object for each result or event. */
  JSON;

  static OutputFormat ofName(String name) throws CommandFailure {
    for (OutputFormat format : values()) {
      if (format.name().toLowerCase(Locale.ROOT).equals(name)) {
        return format;
      }
    }
    throw new CommandFailure(ExitCode.USAGE, "--output must be text or json, was '" + name + "'");
  }
}
