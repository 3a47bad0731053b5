package io.magnoliaroute.core.log;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.magnoliaroute.core.model.Bytes;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Reads the fields of one MessagePack map that {@link FieldWriter} encoded.
 *
 * <p>Fields with unknown numbers or of unsupported types are ignored. Declared sizes are checked
 * against the remaining bytes before memory is allocated.
 */
public final class FieldReader {

  private static final int MAX_FIELDS = 64;

  private record Field(Object value, long byteOffset) {}

  private final String path;
  private final Map<Integer, Field> fields = new HashMap<>();

  private FieldReader(String path) {
    this.path = path;
  }

  /**
   * Decodes the map.
   *
   * @param path the path of the map in error messages
   * @param encoded the encoded map
   */
  public static FieldReader of(String path, Bytes encoded) throws MalformedRecordException {
    FieldReader reader = new FieldReader(path);
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(encoded.toArray())) {
      reader.readAll(unpacker, encoded.sizeBytes());
    } catch (MessageInsufficientBufferException e) {
      throw reader.malformed(encoded.sizeBytes(), "record is truncated", e);
    } catch (MessagePackException | ArithmeticException e) {
      throw reader.malformed(0, "not a MessagePack map: " + e.getMessage(), e);
    } catch (IOException e) {
      throw reader.malformed(0, "cannot be read: " + e.getMessage(), e);
    }
    return reader;
  }

  /** Returns whether the field is present. */
  public boolean has(int field) {
    return fields.containsKey(field);
  }

  /** Returns a required integer in the range {@code [min, max]}. */
  public long integer(int field, String name, long min, long max) throws MalformedRecordException {
    Field found = required(field, name);
    if (!(found.value() instanceof Long value)) {
      throw malformed(name, found, "must be an integer");
    }
    if (value < min || value > max) {
      throw malformed(name, found, "must be from " + min + " to " + max + ", was " + value);
    }
    return value;
  }

  /** Returns a required integer from 0 to {@link Integer#MAX_VALUE}. */
  public int nonNegativeInt(int field, String name) throws MalformedRecordException {
    return (int) integer(field, name, 0, Integer.MAX_VALUE);
  }

  /** Returns a required integer from 0 to {@link Long#MAX_VALUE}. */
  public long nonNegativeLong(int field, String name) throws MalformedRecordException {
    return integer(field, name, 0, Long.MAX_VALUE);
  }

  /** Returns a required string. */
  public String string(int field, String name) throws MalformedRecordException {
    Field found = required(field, name);
    if (!(found.value() instanceof String value)) {
      throw malformed(name, found, "must be a string");
    }
    return value;
  }

  /** Returns a string, or empty if the field is absent. */
  public Optional<String> optionalString(int field, String name) throws MalformedRecordException {
    return has(field) ? Optional.of(string(field, name)) : Optional.empty();
  }

  /** Returns a required byte sequence. */
  public Bytes bytes(int field, String name) throws MalformedRecordException {
    Field found = required(field, name);
    if (!(found.value() instanceof Bytes value)) {
      throw malformed(name, found, "must be a byte sequence");
    }
    return value;
  }

  /** Returns a required list of byte sequences. */
  public List<Bytes> bytesList(int field, String name) throws MalformedRecordException {
    Field found = required(field, name);
    if (!(found.value() instanceof List<?> values)) {
      throw malformed(name, found, "must be a list of byte sequences");
    }
    List<Bytes> result = new ArrayList<>(values.size());
    for (Object value : values) {
      result.add((Bytes) value);
    }
    return result;
  }

  /** Creates an exception for a field whose value was decoded but is invalid. */
  public MalformedRecordException invalid(int field, String name, String problem) {
    Field found = fields.get(field);
    return new MalformedRecordException(
        path + "." + name, found == null ? 0 : found.byteOffset(), problem);
  }

  private void readAll(MessageUnpacker unpacker, int sizeBytes)
      throws IOException, MalformedRecordException {
    int count = unpacker.unpackMapHeader();
    if (count > MAX_FIELDS) {
      throw new MalformedRecordException(
          path, 0, "must have at most " + MAX_FIELDS + " fields, had " + count);
    }
    for (int i = 0; i < count; i++) {
      int field = unpacker.unpackInt();
      long byteOffset = unpacker.getTotalReadBytes();
      Object value = readValue(unpacker, sizeBytes);
      if (value != null) {
        fields.put(field, new Field(value, byteOffset));
      }
    }
  }

  private Object readValue(MessageUnpacker unpacker, int sizeBytes)
      throws IOException, MalformedRecordException {
    ValueType type = unpacker.getNextFormat().getValueType();
    return switch (type) {
      case INTEGER -> unpacker.unpackLong();
      case STRING ->
          new String(readPayload(unpacker, unpacker.unpackRawStringHeader(), sizeBytes), UTF_8);
      case BINARY -> Bytes.copyOf(readPayload(unpacker, unpacker.unpackBinaryHeader(), sizeBytes));
      case ARRAY -> readList(unpacker, sizeBytes);
      default -> {
        unpacker.skipValue();
        yield null;
      }
    };
  }

  private List<Bytes> readList(MessageUnpacker unpacker, int sizeBytes)
      throws IOException, MalformedRecordException {
    int count = unpacker.unpackArrayHeader();
    if (count > sizeBytes) {
      throw new MalformedRecordException(
          path,
          unpacker.getTotalReadBytes(),
          "list length " + count + " exceeds the record size of " + sizeBytes + " bytes");
    }
    List<Bytes> values = new ArrayList<>();
    boolean bytesOnly = true;
    for (int i = 0; i < count; i++) {
      if (unpacker.getNextFormat().getValueType() == ValueType.BINARY) {
        values.add(Bytes.copyOf(readPayload(unpacker, unpacker.unpackBinaryHeader(), sizeBytes)));
      } else {
        unpacker.skipValue();
        bytesOnly = false;
      }
    }
    return bytesOnly ? values : null;
  }

  private byte[] readPayload(MessageUnpacker unpacker, int length, int sizeBytes)
      throws IOException, MalformedRecordException {
    long remaining = sizeBytes - unpacker.getTotalReadBytes();
    if (length > remaining) {
      throw new MalformedRecordException(
          path,
          unpacker.getTotalReadBytes(),
          "declared length of " + length + " bytes exceeds the remaining " + remaining + " bytes");
    }
    return unpacker.readPayload(length);
  }

  private Field required(int field, String name) throws MalformedRecordException {
    Field found = fields.get(field);
    if (found == null) {
      throw new MalformedRecordException(path + "." + name, 0, "is missing");
    }
    return found;
  }

  private MalformedRecordException malformed(String name, Field found, String problem) {
    return new MalformedRecordException(path + "." + name, found.byteOffset(), problem);
  }

  private MalformedRecordException malformed(long byteOffset, String problem, Exception cause) {
    MalformedRecordException e = new MalformedRecordException(path, byteOffset, problem);
    e.initCause(cause);
    return e;
  }
}
