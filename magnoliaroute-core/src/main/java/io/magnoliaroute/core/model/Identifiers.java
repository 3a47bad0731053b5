package io.magnoliaroute.core.model;

import java.util.regex.Pattern;

/** Checks the text of identifiers. */
final class Identifiers {

  private static final int MAX_LENGTH_CHARS = 128;
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

  private Identifiers() {}

  static void requireName(String what, String value) {
    if (value == null) {
      throw new IllegalArgumentException(what + " must not be null");
    }
    if (value.length() > MAX_LENGTH_CHARS) {
      throw new IllegalArgumentException(
          what + " is longer than " + MAX_LENGTH_CHARS + " characters: " + value.length());
    }
    if (!NAME.matcher(value).matches()) {
      throw new IllegalArgumentException(
          what + " must match " + NAME.pattern() + ", was: '" + value + "'");
    }
  }
}
