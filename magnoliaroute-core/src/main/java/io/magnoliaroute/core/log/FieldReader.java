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
 * <p>Fields of unknown numbers and of unknown types are skipped. Sizes are checked against the
 * bytes at hand before memory is taken for them.
 */
public final class FieldReader {

  private static final int MAX_FIELDS = 64;

  private record Field(Object value, long byteOffset) {}

  private final String path;
  private final Map<Integer, Field> fields = new HashMap<>();

  private FieldReader(String path) {
    this.path = path;
  }

  /** Decodes the map; the path names it in messages. */
  public static FieldReader of(String path, Bytes encoded) throws MalformedRecordException {
    FieldReader reader = new FieldReader(path);
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(encoded.toArray())) {
      reader.readAll(unpacker, encoded.sizeBytes());
    } catch (MessageInsufficientBufferException e) {
      throw reader.malformed(encoded.sizeBytes(), "the record ends early", e);
    } catch (MessagePackException | ArithmeticException e) {
      throw reader.malformed(0, "not a MessagePack map: " + e.getMessage(), e);
    } catch (IOException e) {
      throw reader.malformed(0, "unreadable: " + e.getMessage(), e);
    }
    return reader;
  }

  /** Returns whether the field is present. */
  public boolean has(int field) {
    return fields.containsKey(field);
  }

  /** Returns an integer that must be present and in the range, both ends included. */
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

  /** Returns a count that must be present, from 0 to the largest {@code int}. */
  public int count(int field, String name) throws MalformedRecordException {
    return (int) integer(field, name, 0, Integer.MAX_VALUE);
  }

  /** Returns a {@code long} that must be present and not negative. */
  public long size(int field, String name) throws MalformedRecordException {
    return integer(field, name, 0, Long.MAX_VALUE);
  }

  /** Returns a text that must be present. */
  public String text(int field, String name) throws MalformedRecordException {
    Field found = required(field, name);
    if (!(found.value() instanceof String value)) {
      throw malformed(name, found, "must be a text");
    }
    return value;
  }

  /** Returns a text, or empty when the field is absent. */
  public Optional<String> optionalText(int field, String name) throws MalformedRecordException {
    return has(field) ? Optional.of(text(field, name)) : Optional.empty();
  }

  /** Returns a sequence of bytes that must be present. */
  public Bytes bytes(int field, String name) throws MalformedRecordException {
    Field found = required(field, name);
    if (!(found.value() instanceof Bytes value)) {
      throw malformed(name, found, "must be bytes");
    }
    return value;
  }

  /** Returns a list of byte sequences that must be present. */
  public List<Bytes> list(int field, String name) throws MalformedRecordException {
    Field found = required(field, name);
    if (!(found.value() instanceof List<?> values)) {
      throw malformed(name, found, "must be a list of bytes");
    }
    List<Bytes> result = new ArrayList<>(values.size());
    for (Object value : values) {
      result.add((Bytes) value);
    }
    return result;
  }

  /** Makes an exception for a field that was read but does not hold a valid value. */
  public MalformedRecordException invalid(int field, String name, String problem) {
    Field found = fields.get(field);
    return new MalformedRecordException(
        path + "." + name, found == null ? 0 : found.byteOffset(), problem);
  }

  private void readAll(MessageUnpacker unpacker, int sizeBytes)
      throws IOException, MalformedRecordException {
    int count = unpacker.unpackMapHeader();
    if (count > MAX_FIELDS) {
      throw new MalformedRecordException(path, 0, "more than " + MAX_FIELDS + " fields: " + count);
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
          path, unpacker.getTotalReadBytes(), "a list of " + count + " in " + sizeBytes + " bytes");
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
    long left = sizeBytes - unpacker.getTotalReadBytes();
    if (length > left) {
      throw new MalformedRecordException(
          path, unpacker.getTotalReadBytes(), length + " bytes announced, " + left + " left");
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
