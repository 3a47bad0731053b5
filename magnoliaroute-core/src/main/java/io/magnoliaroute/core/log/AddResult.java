package io.magnoliaroute.core.log;

/** The result of adding a record to a {@link GroupCommitter}. */
public enum AddResult {
  /** The record is pending until it is acknowledged, read back or abandoned. */
  ACCEPTED,
  /** The limit on pending records is reached; the record was refused and is not appended. */
  TOO_MANY_RECORDS,
  /** The limit on pending bytes would be exceeded; the record was refused and is not appended. */
  TOO_MANY_BYTES;

  /** Returns whether the record was accepted. */
  public boolean isAccepted() {
    return this == ACCEPTED;
  }
}
