package io.magnoliaroute.core.settings;

/** The kind of the endpoints of a pool. */
public enum PoolKind {
  /** Model engines, called through the chat-completions API. */
  MODEL("model"),
  /** A plain service that offers operations. */
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
