package io.magnoliaroute.core.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class LogRecordCodecTest {

  private static final LogRecord RECORD =
      new LogRecord(
          new RecordId(new WriterId(new VmId("vm-0"), 7), 9), 3, Bytes.ofUtf8("some content"));

  /** Guards against a reader that fails on a field added by a later release. */
  @Test
  void unknownFieldsAreSkipped() throws Exception {
    Bytes extended =
        new FieldWriter()
            .put(0, 2)
            .put(40, "added later")
            .put(1, "vm-0")
            .put(2, 7)
            .put(3, 9)
            .put(4, 3)
            .put(5, RECORD.body())
            .toBytes();
    assertEquals(RECORD, LogRecordCodec.decode(extended));
  }

  /** Guards against a truncated record that is accepted or reported without a path. */
  @Test
  void truncatedRecordsAreMalformed() {
    byte[] encoded = LogRecordCodec.encode(RECORD).toArray();
    for (int length = 0; length < encoded.length; length++) {
      Bytes truncated = Bytes.copyOf(Arrays.copyOf(encoded, length));
      MalformedRecordException e =
          assertThrows(MalformedRecordException.class, () -> LogRecordCodec.decode(truncated));
      assertEquals("record", e.path().split("\\.", 2)[0]);
    }
  }

  /** Guards against corrupt input that causes an unchecked exception or an oversized allocation. */
  @Test
  void corruptedRecordsAreDecodedOrMalformed() {
    SplittableRandom random = new SplittableRandom(42);
    byte[] encoded = LogRecordCodec.encode(RECORD).toArray();
    for (int i = 0; i < 20_000; i++) {
      byte[] corrupted = encoded.clone();
      for (int flips = random.nextInt(1, 4); flips > 0; flips--) {
        corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
      }
      try {
        LogRecordCodec.decode(Bytes.copyOf(corrupted));
      } catch (MalformedRecordException e) {
        assertEquals("record", e.path().split("\\.", 2)[0]);
      }
    }
  }

  /** Guards against an error report that does not name the invalid field. */
  @Test
  void invalidFieldIsNamedInError() {
    Bytes negative = new FieldWriter().put(0, 1).put(1, "vm-0").put(2, -7).toBytes();
    MalformedRecordException e =
        assertThrows(MalformedRecordException.class, () -> LogRecordCodec.decode(negative));
    assertEquals("record.id.incarnation", e.path());
  }
}
