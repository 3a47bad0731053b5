package io.magnoliaroute.core.gateway.history;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;

/**
 * The leading part of an input that many turns share; stored once, by the hash of its content.
 *
 * @param key the key, which holds the hash of the content
 * @param content the bytes
 * @param storedAtMs Unix time at which it was stored last; turns may refer to it for one retention
 *     period from then on, before it has to be stored again
 * @param retentionMs how long the turns that refer to it are kept after the end of their response
 */
public record SharedPart(String key, Bytes content, long storedAtMs, long retentionMs)
    implements HistoryRecord {

  private static final int CONTENT = 1;
  private static final int STORED_AT = 2;
  private static final int RETENTION = 3;

  /** One period in which turns may refer to it, and the time for which those turns are kept. */
  private static final int RETENTION_PERIODS = 2 + KeptTurn.RETENTION_PERIODS;

  private static final int OVERHEAD_BYTES = 250;

  @Override
  public long keptUntilMs() {
    return storedAtMs + RETENTION_PERIODS * retentionMs;
  }

  /** Returns whether a turn that ends now may refer to the part. */
  public boolean isFresh(long nowMs) {
    return nowMs - storedAtMs < retentionMs;
  }

  @Override
  public int sizeBytes() {
    return content.sizeBytes() + OVERHEAD_BYTES;
  }

  @Override
  public Bytes encode() {
    return new FieldWriter()
        .put(CONTENT, content)
        .put(STORED_AT, storedAtMs)
        .put(RETENTION, retentionMs)
        .toBytes();
  }

  static SharedPart decode(String key, Bytes value) throws MalformedRecordException {
    FieldReader reader = FieldReader.of("shared part", value);
    return new SharedPart(
        key,
        reader.bytes(CONTENT, "content"),
        reader.nonNegativeLong(STORED_AT, "storage time"),
        reader.nonNegativeLong(RETENTION, "retention"));
  }
}
