package io.magnoliaroute.core.log;

import java.util.Optional;

/**
 * One record read by a {@link LogFollower}.
 *
 * @param offset the offset of the record
 * @param record the decoded record, empty if decoding failed
 * @param decodingError the decoding error, empty if decoding succeeded
 */
public record FollowedRecord(
    long offset, Optional<LogRecord> record, Optional<MalformedRecordException> decodingError) {

  static FollowedRecord decode(LogEntry entry) {
    try {
      LogRecord decoded = LogRecordCodec.decode(entry.payload());
      return new FollowedRecord(entry.offset(), Optional.of(decoded), Optional.empty());
    } catch (MalformedRecordException e) {
      return new FollowedRecord(entry.offset(), Optional.empty(), Optional.of(e));
    }
  }
}
