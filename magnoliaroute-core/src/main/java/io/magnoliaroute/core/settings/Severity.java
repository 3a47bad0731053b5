package io.magnoliaroute.core.settings;

/** How serious a finding is. */
public enum Severity {
  /** The settings are refused. */
  ERROR("error"),
  /** The settings are accepted, but probably not meant like this. */
  WARNING("warning");

  private final String wireName;

  Severity(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in output and bodies. */
  public String wireName() {
    return wireName;
  }
}
