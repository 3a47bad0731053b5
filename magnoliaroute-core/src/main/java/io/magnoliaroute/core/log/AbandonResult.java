package io.magnoliaroute.core.log;

/**
 * The state of a record whose append was abandoned before the {@link GroupCommitter} received a
 * confirmation.
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
