package io.magnoliaroute.core.log;

/** What is known of a record that a {@link GroupCommitter} stopped appending. */
public enum AbandonResult {
  /** The record was never handed out, or each append of it was refused: it does not land. */
  NEVER_APPENDED,
  /** An append of the record may have taken effect or may do so later. */
  MAY_LAND,
  /** The record is not held: it was acknowledged, read back, abandoned or never added. */
  NOT_HELD
}
