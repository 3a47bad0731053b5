package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.ProgramId;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes snapshot entries. */
final class SnapshotEntryCodec {

  private static final int FIELD_KIND = 20;
  private static final int FIELD_OFFSET = 21;
  private static final int KIND_CLAIM = 1;
  private static final int KIND_PROGRAM = 2;
  private static final int KIND_TURN = 3;
  private static final int KIND_ACTION = 4;

  private SnapshotEntryCodec() {}

  static Bytes encode(SnapshotEntry entry) {
    FieldWriter out = new FieldWriter().put(FIELD_OFFSET, entry.offset());
    if (entry instanceof SnapshotEntry.ClaimEntry claim) {
      out.put(FIELD_KIND, KIND_CLAIM).put(0, claim.epoch());
      ProgramRecordCodec.writeWriter(claim.owner(), 1, out);
      out.put(3, encodeLongs(claim.appliedRanges()));
    } else if (entry instanceof SnapshotEntry.ProgramEntry program) {
      out.put(FIELD_KIND, KIND_PROGRAM);
      writeProgram(program, out);
    } else if (entry instanceof SnapshotEntry.TurnEntry turn) {
      out.put(FIELD_KIND, KIND_TURN).put(0, turn.program().value());
      ProgramRecordCodec.writeTurn(turn.turn(), out);
    } else if (entry instanceof SnapshotEntry.ActionEntry action) {
      out.put(FIELD_KIND, KIND_ACTION);
      writeAction(action, out);
    }
    return out.toBytes();
  }

  /** Decodes the entries, omitting those of a kind that this release does not support. */
  static List<SnapshotEntry> decodeAll(List<Bytes> encoded) throws MalformedRecordException {
    List<SnapshotEntry> entries = new ArrayList<>(encoded.size());
    for (int i = 0; i < encoded.size(); i++) {
      decode(FieldReader.of("snapshot.entries[" + i + "]", encoded.get(i))).ifPresent(entries::add);
    }
    return entries;
  }

  static EndReason readReason(FieldReader in, int field) throws MalformedRecordException {
    int number = in.nonNegativeInt(field, "reason");
    try {
      return EndReason.ofWireNumber(number);
    } catch (IllegalArgumentException e) {
      MalformedRecordException malformed = in.invalid(field, "reason", e.getMessage());
      malformed.initCause(e);
      throw malformed;
    }
  }

  private static Optional<SnapshotEntry> decode(FieldReader in) throws MalformedRecordException {
    long offset = in.nonNegativeLong(FIELD_OFFSET, "offset");
    return switch (in.nonNegativeInt(FIELD_KIND, "kind")) {
      case KIND_CLAIM -> Optional.of(readClaim(offset, in));
      case KIND_PROGRAM -> Optional.of(readProgram(offset, in));
      case KIND_TURN -> Optional.of(readTurn(offset, in));
      case KIND_ACTION -> Optional.of(readAction(offset, in));
      default -> Optional.empty();
    };
  }

  private static SnapshotEntry readClaim(long offset, FieldReader in)
      throws MalformedRecordException {
    return new SnapshotEntry.ClaimEntry(
        offset,
        ProgramRecordCodec.readWriter(in, 1, "owner"),
        in.nonNegativeLong(0, "epoch"),
        decodeLongs(in, 3, "seen"));
  }

  private static void writeProgram(SnapshotEntry.ProgramEntry program, FieldWriter out) {
    ProgramRecordCodec.writeStarted(program.start(), out);
    ProgramRecordCodec.writeId(program.start().id(), 10, out);
    out.put(13, program.turns());
    program.end().ifPresent(end -> out.put(14, end.reason().wireNumber()).put(15, end.offset()));
  }

  private static SnapshotEntry readProgram(long offset, FieldReader in)
      throws MalformedRecordException {
    RecordId id = ProgramRecordCodec.readId(in, 10, "start.id");
    Optional<ProgramEnd> end =
        in.has(14)
            ? Optional.of(new ProgramEnd(readReason(in, 14), in.nonNegativeLong(15, "end_offset")))
            : Optional.empty();
    return new SnapshotEntry.ProgramEntry(
        offset, ProgramRecordCodec.readStarted(id, in), end, in.nonNegativeInt(13, "turns"));
  }

  private static SnapshotEntry readTurn(long offset, FieldReader in)
      throws MalformedRecordException {
    ProgramId program = ProgramRecordCodec.parseValue(in, 0, "program", ProgramId::new);
    return new SnapshotEntry.TurnEntry(offset, program, ProgramRecordCodec.readTurn(in));
  }

  private static void writeAction(SnapshotEntry.ActionEntry action, FieldWriter out) {
    ProgramRecordCodec.writeIntent(action.intent(), out);
    ProgramRecordCodec.writeId(action.intent().id(), 10, out);
    out.put(13, action.intentOffset());
    action.outcome().ifPresent(outcome -> out.put(14, encodeOutcome(outcome)));
  }

  private static SnapshotEntry readAction(long offset, FieldReader in)
      throws MalformedRecordException {
    RecordId intentId = ProgramRecordCodec.readId(in, 10, "intent.id");
    Optional<ProgramRecord.ActionOutcome> outcome =
        in.has(14) ? Optional.of(decodeOutcome(in.bytes(14, "outcome"))) : Optional.empty();
    return new SnapshotEntry.ActionEntry(
        offset,
        in.nonNegativeLong(13, "intent_offset"),
        ProgramRecordCodec.readIntent(intentId, in),
        outcome);
  }

  private static Bytes encodeOutcome(ProgramRecord.ActionOutcome outcome) {
    FieldWriter out = new FieldWriter();
    ProgramRecordCodec.writeOutcome(outcome, out);
    ProgramRecordCodec.writeId(outcome.id(), 10, out);
    return out.toBytes();
  }

  private static ProgramRecord.ActionOutcome decodeOutcome(Bytes encoded)
      throws MalformedRecordException {
    FieldReader in = FieldReader.of("snapshot.outcome", encoded);
    return ProgramRecordCodec.readOutcome(ProgramRecordCodec.readId(in, 10, "id"), in);
  }

  private static Bytes encodeLongs(List<Long> values) {
    ByteBuffer buffer = ByteBuffer.allocate(values.size() * Long.BYTES);
    values.forEach(buffer::putLong);
    return Bytes.copyOf(buffer.array());
  }

  private static List<Long> decodeLongs(FieldReader in, int field, String name)
      throws MalformedRecordException {
    ByteBuffer buffer = ByteBuffer.wrap(in.bytes(field, name).toArray());
    if (buffer.remaining() % (2 * Long.BYTES) != 0) {
      throw in.invalid(
          field, name, "must be pairs of 8-byte integers, was " + buffer.remaining() + " bytes");
    }
    List<Long> values = new ArrayList<>(buffer.remaining() / Long.BYTES);
    while (buffer.hasRemaining()) {
      values.add(buffer.getLong());
    }
    return values;
  }
}
