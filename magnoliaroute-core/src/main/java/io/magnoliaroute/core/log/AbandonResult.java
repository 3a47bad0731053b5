package io.magnoliaroute.core.log;

/**
 * The known state of a record that was removed from a {@link GroupCommitter} before it was settled.
 */
public enum AbandonResult {
  /**
   * The record was in no batch, or every append of it was refused; it will not appear in the log.
   */
  NEVER_APPENDED,
  /** An append of the record may have taken effect or may do so later. */
  MAY_LAND,
  /** The record is not pending: it was acknowledged, read back, abandoned or never added. */
  NOT_HELD
}
