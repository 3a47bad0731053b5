package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;

/**
 * Encodes and decodes log records as MessagePack maps with numbered fields.
 *
 * <p>A reader accepts every version from 1. A later version may add fields, which older readers
 * skip, but must not change the meaning of a field; such a change requires a new record kind.
 */
public final class LogRecordCodec {

  /** The format version written by this release. */
  public static final int VERSION = 1;

  /** The maximum size of an encoded record; fits a turn with the longest request and response. */
  public static final int MAX_RECORD_BYTES = 8 * 1024 * 1024;

  private static final int FIELD_VERSION = 0;
  private static final int FIELD_VM = 1;
  private static final int FIELD_INCARNATION = 2;
  private static final int FIELD_SEQUENCE = 3;
  private static final int FIELD_KIND = 4;
  private static final int FIELD_BODY = 5;

  private LogRecordCodec() {}

  /**
   * Returns the encoded record.
   *
   * @throws IllegalArgumentException if the encoded record is longer than {@link #MAX_RECORD_BYTES}
   */
  public static Bytes encode(LogRecord logRecord) {
    Bytes encoded =
        new FieldWriter()
            .put(FIELD_VERSION, VERSION)
            .put(FIELD_VM, logRecord.id().writer().vm().value())
            .put(FIELD_INCARNATION, logRecord.id().writer().incarnation())
            .put(FIELD_SEQUENCE, logRecord.id().sequence())
            .put(FIELD_KIND, logRecord.kind())
            .put(FIELD_BODY, logRecord.body())
            .toBytes();
    if (encoded.sizeBytes() > MAX_RECORD_BYTES) {
      throw new IllegalArgumentException(
          "record "
              + logRecord.id()
              + " exceeds the maximum size of "
              + MAX_RECORD_BYTES
              + " bytes: "
              + encoded.sizeBytes());
    }
    return encoded;
  }

  /** Returns the decoded record. */
  public static LogRecord decode(Bytes encoded) throws MalformedRecordException {
    if (encoded.sizeBytes() > MAX_RECORD_BYTES) {
      throw new MalformedRecordException(
          "record",
          0,
          "exceeds the maximum size of " + MAX_RECORD_BYTES + " bytes: " + encoded.sizeBytes());
    }
    FieldReader fields = FieldReader.of("record", encoded);
    fields.integer(FIELD_VERSION, "version", 1, Integer.MAX_VALUE);
    WriterId writer =
        new WriterId(readVm(fields), fields.nonNegativeLong(FIELD_INCARNATION, "id.incarnation"));
    RecordId id = new RecordId(writer, fields.nonNegativeLong(FIELD_SEQUENCE, "id.sequence"));
    return new LogRecord(
        id, fields.nonNegativeInt(FIELD_KIND, "kind"), fields.bytes(FIELD_BODY, "body"));
  }

  private static VmId readVm(FieldReader fields) throws MalformedRecordException {
    try {
      return new VmId(fields.string(FIELD_VM, "id.vm"));
    } catch (IllegalArgumentException e) {
      MalformedRecordException malformed = fields.invalid(FIELD_VM, "id.vm", e.getMessage());
      malformed.initCause(e);
      throw malformed;
    }
  }
}
