package io.magnoliaroute.core.settings;

/** The severity of a finding. */
public enum Severity {
  /** The settings are rejected. */
  ERROR("error"),
  /** The settings are accepted, but probably not as intended. */
  WARNING("warning");

  private final String wireName;

  Severity(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in command output and in response bodies. */
  public String wireName() {
    return wireName;
  }
}
