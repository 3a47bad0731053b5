package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.LogRecord;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.program.ProgramRecord.ActionAbandoned;
import io.magnoliaroute.core.program.ProgramRecord.ActionIntent;
import io.magnoliaroute.core.program.ProgramRecord.ActionOutcome;
import io.magnoliaroute.core.program.ProgramRecord.Claim;
import io.magnoliaroute.core.program.ProgramRecord.ProgramEnded;
import io.magnoliaroute.core.program.ProgramRecord.ProgramStarted;
import io.magnoliaroute.core.program.ProgramRecord.Snapshot;
import io.magnoliaroute.core.program.ProgramRecord.TurnAppended;
import java.util.Optional;
import java.util.function.Function;

/** Converts between {@link ProgramRecord}s and {@link LogRecord}s. */
public final class ProgramRecordCodec {

  private static final int KIND_CLAIM = 1;
  private static final int KIND_PROGRAM_STARTED = 2;
  private static final int KIND_TURN_APPENDED = 3;
  private static final int KIND_ACTION_INTENT = 4;
  private static final int KIND_ACTION_OUTCOME = 5;
  private static final int KIND_ACTION_ABANDONED = 6;
  private static final int KIND_PROGRAM_ENDED = 7;
  private static final int KIND_SNAPSHOT = 8;

  private ProgramRecordCodec() {}

  /** Encodes the record. */
  public static LogRecord toLogRecord(ProgramRecord record) {
    FieldWriter out = new FieldWriter();
    int kind = write(record, out);
    return new LogRecord(record.id(), kind, out.toBytes());
  }

  /**
   * Decodes the record, or returns empty if this release does not support its kind.
   *
   * @throws MalformedRecordException if a field is missing or has an invalid value
   */
  public static Optional<ProgramRecord> fromLogRecord(LogRecord record)
      throws MalformedRecordException {
    return switch (record.kind()) {
      case KIND_CLAIM -> Optional.of(readClaim(record.id(), fields("claim", record)));
      case KIND_PROGRAM_STARTED ->
          Optional.of(readStarted(record.id(), fields("program_started", record)));
      case KIND_TURN_APPENDED ->
          Optional.of(readTurnAppended(record.id(), fields("turn_appended", record)));
      case KIND_ACTION_INTENT ->
          Optional.of(readIntent(record.id(), fields("action_intent", record)));
      case KIND_ACTION_OUTCOME ->
          Optional.of(readOutcome(record.id(), fields("action_outcome", record)));
      case KIND_ACTION_ABANDONED ->
          Optional.of(readAbandoned(record.id(), fields("abandoned", record)));
      case KIND_PROGRAM_ENDED ->
          Optional.of(readEnded(record.id(), fields("program_ended", record)));
      case KIND_SNAPSHOT -> Optional.of(readSnapshot(record.id(), fields("snapshot", record)));
      default -> Optional.empty();
    };
  }

  private static FieldReader fields(String path, LogRecord record) throws MalformedRecordException {
    return FieldReader.of(path, record.body());
  }

  private static int write(ProgramRecord record, FieldWriter out) {
    if (record instanceof Claim claim) {
      out.put(0, claim.vm().value()).put(1, claim.epoch());
      return KIND_CLAIM;
    }
    if (record instanceof ProgramStarted started) {
      writeStarted(started, out);
      return KIND_PROGRAM_STARTED;
    }
    if (record instanceof TurnAppended appended) {
      out.put(0, appended.epoch()).put(1, appended.program().value());
      writeTurn(appended.turn(), out);
      return KIND_TURN_APPENDED;
    }
    if (record instanceof ActionIntent intent) {
      writeIntent(intent, out);
      return KIND_ACTION_INTENT;
    }
    if (record instanceof ActionOutcome outcome) {
      writeOutcome(outcome, out);
      return KIND_ACTION_OUTCOME;
    }
    if (record instanceof ActionAbandoned abandoned) {
      writeId(abandoned.intent(), 0, out);
      return KIND_ACTION_ABANDONED;
    }
    if (record instanceof ProgramEnded ended) {
      out.put(0, ended.epoch()).put(1, ended.program().value());
      out.put(2, ended.reason().wireNumber()).put(3, ended.turns());
      return KIND_PROGRAM_ENDED;
    }
    writeSnapshot((Snapshot) record, out);
    return KIND_SNAPSHOT;
  }

  static void writeStarted(ProgramStarted record, FieldWriter out) {
    out.put(0, record.epoch()).put(1, record.program().value()).put(2, record.team().value());
    out.put(3, record.priority().wireName())
        .put(4, record.startedAtMs())
        .put(5, record.deadlineAtMs());
    record.parent().ifPresent(parent -> out.put(6, parent.value()));
    record.clientKey().ifPresent(key -> out.put(7, key));
  }

  static ProgramStarted readStarted(RecordId id, FieldReader in) throws MalformedRecordException {
    Optional<ProgramId> parent =
        in.has(6) ? Optional.of(parseValue(in, 6, "parent", ProgramId::new)) : Optional.empty();
    return new ProgramStarted(
        id,
        in.nonNegativeLong(0, "epoch"),
        parseValue(in, 1, "program", ProgramId::new),
        parseValue(in, 2, "team", TeamId::new),
        parseValue(in, 3, "priority", PriorityClass::ofWireName),
        in.nonNegativeLong(4, "started_at_ms"),
        in.nonNegativeLong(5, "deadline_at_ms"),
        parent,
        in.optionalString(7, "client_key"));
  }

  static void writeTurn(Turn turn, FieldWriter out) {
    out.put(2, turn.number()).put(3, turn.attempt());
    out.put(4, turn.request()).put(5, turn.answer());
    out.put(6, turn.promptTokens()).put(7, turn.answerTokens());
  }

  static Turn readTurn(FieldReader in) throws MalformedRecordException {
    return new Turn(
        in.nonNegativeInt(2, "turn"),
        in.nonNegativeInt(3, "attempt"),
        in.bytes(4, "request"),
        in.bytes(5, "answer"),
        in.nonNegativeInt(6, "prompt_tokens"),
        in.nonNegativeInt(7, "answer_tokens"));
  }

  static void writeIntent(ActionIntent record, FieldWriter out) {
    out.put(0, record.epoch())
        .put(1, record.program().value())
        .put(2, record.key())
        .put(3, record.attempt());
    out.put(4, record.service()).put(5, record.request());
  }

  static ActionIntent readIntent(RecordId id, FieldReader in) throws MalformedRecordException {
    return new ActionIntent(
        id,
        in.nonNegativeLong(0, "epoch"),
        parseValue(in, 1, "program", ProgramId::new),
        in.string(2, "key"),
        in.nonNegativeInt(3, "attempt"),
        in.string(4, "service"),
        in.bytes(5, "request"));
  }

  static void writeOutcome(ActionOutcome record, FieldWriter out) {
    out.put(0, record.program().value()).put(1, record.key());
    writeId(record.intent(), 2, out);
    out.put(5, record.outcome().wireName()).put(6, record.result());
  }

  static ActionOutcome readOutcome(RecordId id, FieldReader in) throws MalformedRecordException {
    return new ActionOutcome(
        id,
        parseValue(in, 0, "program", ProgramId::new),
        in.string(1, "key"),
        readId(in, 2, "intent"),
        parseValue(in, 5, "outcome", Outcome::ofWireName),
        in.bytes(6, "result"));
  }

  /** Writes an id to three consecutive fields, starting with {@code first}. */
  static void writeId(RecordId id, int first, FieldWriter out) {
    writeWriter(id.writer(), first, out);
    out.put(first + 2, id.sequence());
  }

  static RecordId readId(FieldReader in, int first, String name) throws MalformedRecordException {
    WriterId writer = readWriter(in, first, name);
    return new RecordId(writer, in.nonNegativeLong(first + 2, name + ".sequence"));
  }

  static void writeWriter(WriterId writer, int first, FieldWriter out) {
    out.put(first, writer.vm().value()).put(first + 1, writer.incarnation());
  }

  static WriterId readWriter(FieldReader in, int first, String name)
      throws MalformedRecordException {
    VmId vm = parseValue(in, first, name + ".vm", VmId::new);
    return new WriterId(vm, in.nonNegativeLong(first + 1, name + ".incarnation"));
  }

  static <T> T parseValue(FieldReader in, int field, String name, Function<String, T> parse)
      throws MalformedRecordException {
    String text = in.string(field, name);
    try {
      return parse.apply(text);
    } catch (IllegalArgumentException e) {
      MalformedRecordException malformed = in.invalid(field, name, e.getMessage());
      malformed.initCause(e);
      throw malformed;
    }
  }

  private static Claim readClaim(RecordId id, FieldReader in) throws MalformedRecordException {
    return new Claim(id, parseValue(in, 0, "vm", VmId::new), in.nonNegativeLong(1, "epoch"));
  }

  private static TurnAppended readTurnAppended(RecordId id, FieldReader in)
      throws MalformedRecordException {
    ProgramId program = parseValue(in, 1, "program", ProgramId::new);
    return new TurnAppended(id, in.nonNegativeLong(0, "epoch"), program, readTurn(in));
  }

  private static ActionAbandoned readAbandoned(RecordId id, FieldReader in)
      throws MalformedRecordException {
    return new ActionAbandoned(id, readId(in, 0, "intent"));
  }

  private static ProgramEnded readEnded(RecordId id, FieldReader in)
      throws MalformedRecordException {
    return new ProgramEnded(
        id,
        in.nonNegativeLong(0, "epoch"),
        parseValue(in, 1, "program", ProgramId::new),
        SnapshotEntryCodec.readReason(in, 2),
        in.nonNegativeInt(3, "turns"));
  }

  private static void writeSnapshot(Snapshot record, FieldWriter out) {
    out.put(0, record.asOfOffset())
        .put(1, record.writtenAtMs())
        .put(2, record.part())
        .put(3, record.parts());
    out.putList(4, record.entries().stream().map(SnapshotEntryCodec::encode).toList());
  }

  private static Snapshot readSnapshot(RecordId id, FieldReader in)
      throws MalformedRecordException {
    int parts = (int) in.integer(3, "parts", 1, Integer.MAX_VALUE);
    int part = (int) in.integer(2, "part", 0, parts - 1);
    return new Snapshot(
        id,
        in.nonNegativeLong(0, "as_of_offset"),
        in.nonNegativeLong(1, "written_at_ms"),
        part,
        parts,
        SnapshotEntryCodec.decodeAll(in.bytesList(4, "entries")));
  }
}
