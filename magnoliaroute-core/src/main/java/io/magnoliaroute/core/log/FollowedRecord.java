package io.magnoliaroute.core.log;

import java.util.Optional;

/**
 * One record that a {@link LogFollower} read.
 *
 * @param offset its offset
 * @param record the record, empty when it cannot be decoded
 * @param fault why it cannot be decoded
 */
public record FollowedRecord(
    long offset, Optional<LogRecord> record, Optional<MalformedRecordException> fault) {

  static FollowedRecord decode(LogEntry entry) {
    try {
      LogRecord decoded = LogRecordCodec.decode(entry.payload());
      return new FollowedRecord(entry.offset(), Optional.of(decoded), Optional.empty());
    } catch (MalformedRecordException e) {
      return new FollowedRecord(entry.offset(), Optional.empty(), Optional.of(e));
    }
  }
}
