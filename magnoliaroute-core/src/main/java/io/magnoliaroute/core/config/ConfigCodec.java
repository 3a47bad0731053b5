package io.magnoliaroute.core.config;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.settings.BranchName;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes config records and the payloads exchanged between peers as MessagePack. A
 * record starts with its type, and all fields follow in order of declaration. The content of a
 * deleted branch is nil.
 */
public final class ConfigCodec {

  private static final int TYPE_PUBLISHED = 1;
  private static final int TYPE_SNAPSHOT = 2;

  private ConfigCodec() {}

  /** Encodes a record. */
  public static Bytes encode(ConfigRecord configRecord) {
    return pack(
        out -> {
          if (configRecord instanceof ConfigRecord.Published published) {
            out.packInt(TYPE_PUBLISHED).packString(published.recordId());
            out.packString(published.branch().value()).packLong(published.baseVersion());
            packContent(out, published.content());
            out.packString(published.author()).packLong(published.timeMs());
          } else if (configRecord instanceof ConfigRecord.Snapshot snapshot) {
            out.packInt(TYPE_SNAPSHOT).packString(snapshot.recordId()).packLong(snapshot.timeMs());
            out.packLong(snapshot.asOfOffset());
            packEntries(out, snapshot.entries());
          }
        });
  }

  /** Decodes a record. */
  public static ConfigRecord decode(Bytes payload) throws ConfigFormatException {
    return unpack(
        payload,
        in -> {
          int type = in.unpackInt();
          String recordId = in.unpackString();
          return switch (type) {
            case TYPE_PUBLISHED ->
                new ConfigRecord.Published(
                    recordId,
                    new BranchName(in.unpackString()),
                    in.unpackLong(),
                    unpackContent(in),
                    in.unpackString(),
                    in.unpackLong());
            case TYPE_SNAPSHOT ->
                new ConfigRecord.Snapshot(
                    recordId, in.unpackLong(), in.unpackLong(), unpackEntries(in));
            default -> throw new IllegalArgumentException("unknown config record type " + type);
          };
        });
  }

  /** Encodes a pull. */
  public static Bytes encodePull(ConfigPull pull) {
    return pack(out -> out.packLong(pull.newerThanVersion()));
  }

  /** Decodes a pull. */
  public static ConfigPull decodePull(Bytes payload) throws ConfigFormatException {
    return unpack(payload, in -> new ConfigPull(in.unpackLong()));
  }

  /** Encodes a push. */
  public static Bytes encodePush(ConfigPush push) {
    return pack(
        out -> {
          out.packLong(push.newerThanVersion()).packLong(push.throughVersion());
          packEntries(out, push.entries());
          out.packBoolean(push.hasMore());
        });
  }

  /** Decodes a push. */
  public static ConfigPush decodePush(Bytes payload) throws ConfigFormatException {
    return unpack(
        payload,
        in ->
            new ConfigPush(
                in.unpackLong(), in.unpackLong(), unpackEntries(in), in.unpackBoolean()));
  }

  private interface PayloadWriter {
    void write(MessageBufferPacker out) throws IOException;
  }

  private interface PayloadReader<T> {
    T read(MessageUnpacker in) throws IOException;
  }

  private static Bytes pack(PayloadWriter writer) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      writer.write(out);
      return Bytes.copyOf(out.toByteArray());
    } catch (IOException e) {
      throw new IllegalStateException("encoding to an in-memory buffer failed", e);
    }
  }

  private static <T> T unpack(Bytes payload, PayloadReader<T> reader) throws ConfigFormatException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload.toArray())) {
      return reader.read(in);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new ConfigFormatException("malformed config payload: " + e.getMessage(), e);
    }
  }

  private static void packContent(MessageBufferPacker out, Optional<String> content)
      throws IOException {
    if (content.isPresent()) {
      out.packString(content.get());
    } else {
      out.packNil();
    }
  }

  private static Optional<String> unpackContent(MessageUnpacker in) throws IOException {
    return in.tryUnpackNil() ? Optional.empty() : Optional.of(in.unpackString());
  }

  private static void packEntries(MessageBufferPacker out, List<BranchEntry> entries)
      throws IOException {
    out.packArrayHeader(entries.size());
    for (BranchEntry entry : entries) {
      out.packString(entry.branch().value());
      packContent(out, entry.content());
      out.packArrayHeader(entry.history().size());
      for (BranchVersion version : entry.history()) {
        out.packLong(version.version()).packString(version.author());
        out.packLong(version.timeMs()).packString(version.recordId());
      }
    }
  }

  private static List<BranchEntry> unpackEntries(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    // No initial capacity: a corrupt count must not cause a large allocation.
    List<BranchEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      BranchName branch = new BranchName(in.unpackString());
      Optional<String> content = unpackContent(in);
      entries.add(new BranchEntry(branch, content, unpackHistory(in)));
    }
    return entries;
  }

  private static List<BranchVersion> unpackHistory(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<BranchVersion> history = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      history.add(
          new BranchVersion(
              in.unpackLong(), in.unpackString(), in.unpackLong(), in.unpackString()));
    }
    return history;
  }
}
