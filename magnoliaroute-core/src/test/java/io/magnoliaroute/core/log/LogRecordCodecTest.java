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

  /** Guards against a reader that stops at a field which a later release added. */
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

  /** Guards against a cut record that is taken, or that fails without its place. */
  @Test
  void everyCutIsReportedAsMalformed() {
    byte[] whole = LogRecordCodec.encode(RECORD).toArray();
    for (int length = 0; length < whole.length; length++) {
      Bytes cut = Bytes.copyOf(Arrays.copyOf(whole, length));
      MalformedRecordException e =
          assertThrows(MalformedRecordException.class, () -> LogRecordCodec.decode(cut));
      assertEquals("record", e.path().split("\\.", 2)[0]);
    }
  }

  /** Guards against input that makes the reader fail in another way or take memory unchecked. */
  @Test
  void changedBytesAreReadOrReportedAndNothingElse() {
    SplittableRandom random = new SplittableRandom(42);
    byte[] whole = LogRecordCodec.encode(RECORD).toArray();
    for (int i = 0; i < 20_000; i++) {
      byte[] changed = whole.clone();
      for (int flips = random.nextInt(1, 4); flips > 0; flips--) {
        changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
      }
      try {
        LogRecordCodec.decode(Bytes.copyOf(changed));
      } catch (MalformedRecordException e) {
        assertEquals("record", e.path().split("\\.", 2)[0]);
      }
    }
  }

  /** Guards against a fault that is reported without the field it is in. */
  @Test
  void anInvalidFieldIsNamed() {
    Bytes negative = new FieldWriter().put(0, 1).put(1, "vm-0").put(2, -7).toBytes();
    MalformedRecordException e =
        assertThrows(MalformedRecordException.class, () -> LogRecordCodec.decode(negative));
    assertEquals("record.id.incarnation", e.path());
  }
}
