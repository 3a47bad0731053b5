package io.magnoliaroute.core.log;

/** What became of a record that was added to a {@link GroupCommitter}. */
public enum AddResult {
  /** The record is held until it is acknowledged, read back or abandoned. */
  ACCEPTED,
  /** The most records are held already; this one was not taken and is not appended. */
  TOO_MANY_RECORDS,
  /** The most bytes are held already; this record was not taken and is not appended. */
  TOO_MANY_BYTES;

  /** Returns whether the record was taken. */
  public boolean accepted() {
    return this == ACCEPTED;
  }
}
