package io.magnoliaroute.core.settings;

/** The kind of a branch in the settings tree. */
public enum BranchKind {
  /** A team, {@code teams/<name>}. */
  TEAM,
  /** A pool, {@code pools/<name>}. */
  POOL,
  /** The limits that apply to every VM, {@code limits}. */
  LIMITS
}
