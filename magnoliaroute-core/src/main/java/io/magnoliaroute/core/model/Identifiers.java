package io.magnoliaroute.core.model;

import java.util.regex.Pattern;

/** Validates the values of identifiers. */
final class Identifiers {

  private static final int MAX_LENGTH_CHARS = 128;
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

  private Identifiers() {}

  static void requireName(String type, String value) {
    if (value == null) {
      throw new IllegalArgumentException(type + " must not be null");
    }
    if (value.length() > MAX_LENGTH_CHARS) {
      throw new IllegalArgumentException(
          type + " is longer than " + MAX_LENGTH_CHARS + " characters: " + value.length());
    }
    if (!NAME.matcher(value).matches()) {
      throw new IllegalArgumentException(
          type + " must match " + NAME.pattern() + ", was: '" + value + "'");
    }
  }
}
