package io.magnoliaroute.core.settings;

/** The kinds of branch in the operators' tree. */
public enum BranchKind {
  /** A team, {@code teams/<name>}. */
  TEAM,
  /** A pool, {@code pools/<name>}. */
  POOL,
  /** The limits of every VM, {@code limits}. */
  LIMITS
}
