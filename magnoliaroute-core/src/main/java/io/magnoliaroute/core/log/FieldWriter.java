package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.Bytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Collects numbered fields and encodes them as one MessagePack map.
 *
 * <p>Fields are identified by numbers instead of names. A number below 128 takes one byte, and a
 * reader skips fields with unknown numbers.
 */
public final class FieldWriter {

  /** Clearing the default buffer of 8 KiB takes longer than encoding a short record. */
  private static final MessagePack.PackerConfig PACKER_CONFIG =
      new MessagePack.PackerConfig().withBufferSize(512);

  private interface FieldEncoder {
    void write(MessageBufferPacker packer) throws IOException;
  }

  private final List<FieldEncoder> fields = new ArrayList<>();

  /** Adds an integer. */
  public FieldWriter put(int field, long value) {
    return add(field, packer -> packer.packLong(value));
  }

  /** Adds a string. */
  public FieldWriter put(int field, String value) {
    return add(field, packer -> packer.packString(value));
  }

  /** Adds a byte sequence. */
  public FieldWriter put(int field, Bytes value) {
    return add(field, packer -> writeBytes(packer, value));
  }

  /** Adds a list of byte sequences. */
  public FieldWriter putList(int field, List<Bytes> values) {
    return add(
        field,
        packer -> {
          packer.packArrayHeader(values.size());
          for (Bytes value : values) {
            writeBytes(packer, value);
          }
        });
  }

  /** Returns the encoded map. */
  public Bytes toBytes() {
    try (MessageBufferPacker packer = PACKER_CONFIG.newBufferPacker()) {
      packer.packMapHeader(fields.size());
      for (FieldEncoder field : fields) {
        field.write(packer);
      }
      return Bytes.copyOf(packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("writing to an in-memory buffer failed", e);
    }
  }

  private FieldWriter add(int field, FieldEncoder value) {
    if (field < 0) {
      throw new IllegalArgumentException("field must not be negative, was " + field);
    }
    fields.add(
        packer -> {
          packer.packInt(field);
          value.write(packer);
        });
    return this;
  }

  private static void writeBytes(MessageBufferPacker packer, Bytes value) throws IOException {
    byte[] content = value.toArray();
    packer.packBinaryHeader(content.length);
    packer.writePayload(content);
  }
}
