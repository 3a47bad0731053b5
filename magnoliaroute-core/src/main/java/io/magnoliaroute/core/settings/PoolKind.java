package io.magnoliaroute.core.settings;

/** What the endpoints of a pool are. */
public enum PoolKind {
  /** Model engines, met through the chat-completions shape. */
  MODEL("model"),
  /** A plain service with operations. */
  SERVICE("service");

  private final String wireName;

  PoolKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in settings. */
  public String wireName() {
    return wireName;
  }
}
